package org.dotterelcourse.configuration;

import java.util.List;

/**
 * Reads documents and patches in INI. A text with findings has no effect at all; a patch is applied only to the
 * configuration whose number it names, and the result is checked as a whole.
 */
public final class IniConfigurationReader implements ConfigurationReader {
    @Override
    public Checked<Configuration> read(long number, String name, String ini) {
        Findings findings = new Findings();
        Draft draft = new Draft();
        List<IniSection> sections = IniText.read(name, ini, findings);
        sections.forEach(each -> add(each, draft, findings));
        new DraftChecks(name, draft, findings).run();
        return findings.none() ? new Checked.Valid<>(draft.build(number)) : findings.invalid(headers(sections));
    }

    @Override
    public Checked<Configuration> fold(Configuration base, long number, String name, String ini) {
        Findings findings = new Findings();
        PatchText patch = new PatchText(name, ini, findings);
        if (number <= base.number()) {
            findings.add(name, "", "", "to be published above number " + base.number(), "number " + number);
        }
        patch.checkBase(base.number());
        Draft draft = Draft.of(base);
        patch.applyTo(draft);
        new DraftChecks(name, draft, findings).run();
        return findings.none() ? new Checked.Valid<>(draft.build(number)) : findings.invalid(patch.headers());
    }

    /**
     * Reads who made a patch, why, and against which number.
     *
     * @param name the patch's name, for findings
     * @param ini the text
     * @return the header, or all findings of the patch's form; its changes are not checked
     */
    public Checked<PatchHeader> header(String name, String ini) {
        Findings findings = new Findings();
        PatchText patch = new PatchText(name, ini, findings);
        return findings.none() ? new Checked.Valid<>(patch.header()) : findings.invalid(patch.headers());
    }

    private static void add(IniSection section, Draft draft, Findings findings) {
        SectionRecords<?> records = draft.ofKind(section.kind());
        if (records != null) {
            records.add(section, findings);
            return;
        }
        List<String> words = draft.words();
        String start = section.header().split(" ", 2)[0];
        String expected = "a section [KIND NAME] with a kind of " + String.join(", ", words);
        findings.add(section.file(), section.header(), "", expected, NearestName.hint(start, words));
    }

    private static List<String> headers(List<IniSection> sections) {
        return sections.stream().map(IniSection::header).toList();
    }
}
