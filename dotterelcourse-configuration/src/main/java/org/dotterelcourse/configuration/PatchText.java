package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads a patch and applies its changes to a draft. */
final class PatchText {
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
    private final boolean headerSound;
    private final List<IniSection> changes = new ArrayList<>();
    private final List<String> headers = new ArrayList<>();

    /**
     * Reads a patch.
     *
     * @param file its name, for findings
     * @param text the text
     * @param findings takes what is wrong
     */
    PatchText(String file, String text, Findings findings) {
        this.file = file;
        this.findings = findings;
        IniSection head = new IniSection(file, HEADER, Map.of());
        for (IniSection section : IniText.read(file, text, findings)) {
            headers.add(section.header());
            if (section.header().equals(HEADER)) {
                head = section;
            } else {
                changes.add(section);
            }
        }
        SectionReader reader = new SectionReader(head, HEADER_KEYS, findings);
        this.header = header(reader);
        this.headerSound = reader.sound();
        if (changes.isEmpty()) {
            findings.add(file, "", "", "at least one section [set KIND NAME] or [remove KIND NAME]", "none");
        }
    }

    private static PatchHeader header(SectionReader in) {
        long base = in.required(BASE, Value.integer(0, Long.MAX_VALUE));
        return new PatchHeader(base, in.required(AUTHOR, Value.LINE), in.required(REASON, Value.LINE));
    }

    PatchHeader header() {
        return header;
    }

    /**
     * Checks that the patch was written against what is in force.
     *
     * @param inForce the number in force
     */
    void checkBase(long inForce) {
        if (headerSound && header.base() != inForce) {
            findings.add(file, HEADER, BASE, String.valueOf(inForce), String.valueOf(header.base()));
        }
    }

    List<String> headers() {
        return headers;
    }

    /**
     * Applies the changes.
     *
     * @param draft what they are applied to
     */
    void applyTo(Draft draft) {
        Set<String> touched = new HashSet<>();
        for (IniSection change : changes) {
            String target = change.header().substring(change.header().indexOf(' ') + 1);
            if (!touched.add(target)) {
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
            findings.add(file, change.header(), "", "a section " + known(draft), nearest(words, draft));
        }
    }

    private static String known(Draft draft) {
        return "[patch], [set KIND NAME] or [remove KIND NAME] with a kind of " + String.join(", ", draft.words());
    }

    private static String nearest(String[] words, Draft draft) {
        String found = String.join(" ", words);
        if (draft.words().contains(words[0])) {
            return found + " (nearest: " + SET + " " + found + ")";
        }
        if (words.length < 2 || draft.words().contains(words[1])) {
            return NearestName.hint(found, List.of(HEADER));
        }
        return NearestName.hint(words[1], draft.words());
    }
}
