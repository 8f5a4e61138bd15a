package org.dotterelcourse.configuration;

import java.util.List;
import java.util.Optional;

/** Reads the values of one section, and reports unknown, missing and invalid keys. */
final class SectionReader {
    private final IniSection section;
    private final Findings findings;
    private final int initialFindingCount;

    /**
     * Creates a reader, and reports the keys that the section may not contain.
     *
     * @param section the section to read
     * @param allowedKeys the keys that the section may contain
     * @param findings receives the validation errors
     */
    SectionReader(IniSection section, List<String> allowedKeys, Findings findings) {
        this.section = section;
        this.findings = findings;
        this.initialFindingCount = findings.count();
        for (String key : section.entries().keySet()) {
            if (!allowedKeys.contains(key)) {
                String word = Findings.firstWord(key);
                add(word, "one of " + String.join(", ", allowedKeys), NearestName.hint(word, allowedKeys));
            }
        }
    }

    String name() {
        return section.name();
    }

    /**
     * Reads a mandatory key.
     *
     * @param key the name of the key
     * @param type the type of the value
     * @return the value, or the placeholder of the type if a finding was reported
     */
    <T> T required(String key, ValueType<T> type) {
        String text = section.entries().get(key);
        if (text == null) {
            add(key, type.expected(), "nothing");
            return type.placeholder();
        }
        return parse(key, type, text);
    }

    /**
     * Reads an optional key.
     *
     * @param key the name of the key
     * @param type the type of the value
     * @param defaultValue the value if the key is absent
     * @return the value, or the placeholder of the type if a finding was reported
     */
    <T> T optional(String key, ValueType<T> type, T defaultValue) {
        String text = section.entries().get(key);
        return text == null ? defaultValue : parse(key, type, text);
    }

    /**
     * Checks whether the section has had no finding so far.
     *
     * @return true if all values read so far are valid
     */
    boolean isValid() {
        return findings.count() == initialFindingCount;
    }

    void add(String key, String expected, String found) {
        findings.add(section.file(), section.header(), key, expected, found);
    }

    private <T> T parse(String key, ValueType<T> type, String text) {
        Optional<T> result = type.parser().apply(text);
        if (result.isEmpty()) {
            add(key, type.expected(), type.describeInvalid(text));
        }
        return result.orElse(type.placeholder());
    }
}
