package org.dotterelcourse.configuration;

import java.util.List;

/**
 * Reads configuration documents and patches in INI format. A text with findings has no effect. A patch is applied only
 * to the configuration whose number it names as its base, and the result is validated as a whole.
 */
public final class IniConfigurationReader implements ConfigurationReader {
    @Override
    public Checked<Configuration> read(long number, String name, String ini) {
        Findings findings = new Findings();
        Draft draft = new Draft();
        List<IniSection> sections = IniText.read(name, ini, findings);
        sections.forEach(each -> add(each, draft, findings));
        new DraftValidator(name, draft, findings).validate();
        return findings.isEmpty() ? new Checked.Valid<>(draft.build(number)) : findings.toInvalid(headers(sections));
    }

    @Override
    public Checked<Configuration> fold(Configuration base, long number, String name, String ini) {
        Findings findings = new Findings();
        Patch patch = new Patch(name, ini, findings);
        if (number <= base.number()) {
            findings.add(name, "", "", "to be published above number " + base.number(), "number " + number);
        }
        patch.checkBase(base.number());
        Draft draft = Draft.of(base);
        patch.applyTo(draft);
        new DraftValidator(name, draft, findings).validate();
        return findings.isEmpty() ? new Checked.Valid<>(draft.build(number)) : findings.toInvalid(patch.headers());
    }

    /**
     * Reads the header of a patch: its author, its reason and the number of its base.
     *
     * @param name the patch's file name, used in findings
     * @param ini the patch as INI text
     * @return the header, or all findings about the structure of the patch; the changes are not validated
     */
    public Checked<PatchHeader> header(String name, String ini) {
        Findings findings = new Findings();
        Patch patch = new Patch(name, ini, findings);
        return findings.isEmpty() ? new Checked.Valid<>(patch.header()) : findings.toInvalid(patch.headers());
    }

    private static void add(IniSection section, Draft draft, Findings findings) {
        SectionRecords<?> records = draft.ofKind(section.kind());
        if (records != null) {
            records.add(section, findings);
            return;
        }
        List<String> kindNames = draft.kindNames();
        String kindName = section.header().split(" ", 2)[0];
        String expected = "a section [KIND NAME] with a kind of " + String.join(", ", kindNames);
        findings.add(section.file(), section.header(), "", expected, NearestName.hint(kindName, kindNames));
    }

    private static List<String> headers(List<IniSection> sections) {
        return sections.stream().map(IniSection::header).toList();
    }
}
