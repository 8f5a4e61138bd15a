package org.dotterelcourse.configuration;

import java.util.List;
import java.util.Optional;

/** Reads the keys of one section, and reports what is unknown, missing or wrong. */
final class SectionReader {
    private final IniSection section;
    private final Findings findings;
    private final int findingsBefore;

    /**
     * Starts to read a section.
     *
     * @param section the section
     * @param known the keys that it may have
     * @param findings takes what is wrong
     */
    SectionReader(IniSection section, List<String> known, Findings findings) {
        this.section = section;
        this.findings = findings;
        this.findingsBefore = findings.count();
        for (String key : section.entries().keySet()) {
            if (!known.contains(key)) {
                String word = Findings.firstWord(key);
                add(word, "one of " + String.join(", ", known), NearestName.hint(word, known));
            }
        }
    }

    String name() {
        return section.name();
    }

    /**
     * Reads a key that must be there.
     *
     * @param key the key
     * @param value its type
     * @return its value, or the type's placeholder after a finding
     */
    <T> T required(String key, Value<T> value) {
        String text = section.entries().get(key);
        if (text == null) {
            add(key, value.expected(), "nothing");
            return value.placeholder();
        }
        return parsed(key, value, text);
    }

    /**
     * Reads a key that may be left out.
     *
     * @param key the key
     * @param value its type
     * @param otherwise the value if the key is left out
     * @return its value, or the type's placeholder after a finding
     */
    <T> T optional(String key, Value<T> value, T otherwise) {
        String text = section.entries().get(key);
        return text == null ? otherwise : parsed(key, value, text);
    }

    /**
     * Whether the section had no finding so far.
     *
     * @return true if all values that were read can be used
     */
    boolean sound() {
        return findings.count() == findingsBefore;
    }

    void add(String key, String expected, String found) {
        findings.add(section.file(), section.header(), key, expected, found);
    }

    private <T> T parsed(String key, Value<T> value, String text) {
        Optional<T> result = value.parser().apply(text);
        if (result.isEmpty()) {
            add(key, value.expected(), value.found(text));
        }
        return result.orElse(value.placeholder());
    }
}
