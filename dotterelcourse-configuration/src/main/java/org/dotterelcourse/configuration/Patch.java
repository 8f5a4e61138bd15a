package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A parsed patch: a header and a list of sections to set or remove, which can be applied to a draft. */
final class Patch {
    private static final String HEADER = "patch";
    private static final String SET = "set";
    private static final String REMOVE = "remove";
    private static final String BASE = "base";
    private static final String AUTHOR = "author";
    private static final String REASON = "reason";
    private static final List<String> HEADER_KEYS = List.of(BASE, AUTHOR, REASON);

    private final String file;
    private final Findings findings;
    private final PatchHeader header;
    private final boolean headerValid;
    private final List<IniSection> changes = new ArrayList<>();
    private final List<String> headers = new ArrayList<>();

    /**
     * Parses a patch.
     *
     * @param file the file's name, used in findings
     * @param text the patch as INI text
     * @param findings receives the validation errors
     */
    Patch(String file, String text, Findings findings) {
        this.file = file;
        this.findings = findings;
        IniSection headerSection = new IniSection(file, HEADER, Map.of());
        for (IniSection section : IniText.read(file, text, findings)) {
            headers.add(section.header());
            if (section.header().equals(HEADER)) {
                headerSection = section;
            } else {
                changes.add(section);
            }
        }
        SectionReader reader = new SectionReader(headerSection, HEADER_KEYS, findings);
        this.header = header(reader);
        this.headerValid = reader.isValid();
        if (changes.isEmpty()) {
            findings.add(file, "", "", "at least one section [set KIND NAME] or [remove KIND NAME]", "none");
        }
    }

    private static PatchHeader header(SectionReader in) {
        long base = in.required(BASE, ValueType.integer(0, Long.MAX_VALUE));
        return new PatchHeader(base, in.required(AUTHOR, ValueType.LINE), in.required(REASON, ValueType.LINE));
    }

    PatchHeader header() {
        return header;
    }

    /**
     * Checks that the patch was written against the configuration in force.
     *
     * @param numberInForce the number of the configuration in force
     */
    void checkBase(long numberInForce) {
        if (headerValid && header.base() != numberInForce) {
            findings.add(file, HEADER, BASE, String.valueOf(numberInForce), String.valueOf(header.base()));
        }
    }

    List<String> headers() {
        return headers;
    }

    /**
     * Applies the changes to a draft.
     *
     * @param draft the draft to modify
     */
    void applyTo(Draft draft) {
        Set<String> seenTargets = new HashSet<>();
        for (IniSection change : changes) {
            String target = change.header().substring(change.header().indexOf(' ') + 1);
            if (!seenTargets.add(target)) {
                findings.add(file, change.header(), "", "each section changed or removed once", "it again");
                continue;
            }
            apply(change, draft);
        }
    }

    private void apply(IniSection change, Draft draft) {
        String[] words = change.header().split(" +");
        SectionRecords<?> records = words.length == 3 ? draft.ofKind(words[1]) : null;
        if (records != null && words[0].equals(SET)) {
            records.change(change, findings);
        } else if (records != null && words[0].equals(REMOVE)) {
            records.remove(change, findings);
        } else {
            findings.add(file, change.header(), "", "a section " + allowedSections(draft), hint(words, draft));
        }
    }

    private static String allowedSections(Draft draft) {
        return "[patch], [set KIND NAME] or [remove KIND NAME] with a kind of " + String.join(", ", draft.kindNames());
    }

    private static String hint(String[] words, Draft draft) {
        String found = String.join(" ", words);
        if (draft.kindNames().contains(words[0])) {
            return found + " (nearest: " + SET + " " + found + ")";
        }
        if (words.length < 2 || draft.kindNames().contains(words[1])) {
            return NearestName.hint(found, List.of(HEADER));
        }
        return NearestName.hint(words[1], draft.kindNames());
    }
}
