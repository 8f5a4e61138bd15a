package org.dotterelcourse.configuration;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The records of one section kind in a draft.
 *
 * @param <T> the type of the records
 */
final class SectionRecords<T> {
    private final SectionKind<T> kind;
    private final Map<String, T> byName = new LinkedHashMap<>();
    private final Map<String, IniSection> origins = new HashMap<>();
    private List<T> base;
    private final Set<String> invalidNames = new HashSet<>();

    SectionRecords(SectionKind<T> kind) {
        this.kind = kind;
    }

    /**
     * Loads the records of the base configuration.
     *
     * @param records the records, sorted by name
     */
    void startFrom(List<T> records) {
        records.forEach(each -> byName.put(kind.name(each), each));
        base = records;
    }

    /**
     * Returns all records. Must be called only if there were no findings.
     *
     * @return the records sorted by name; the list passed to {@link #startFrom}, with its indexes, if no record changed
     */
    List<T> sorted() {
        if (base != null && origins.isEmpty()) {
            return base;
        }
        return byName.values().stream().sorted(Comparator.comparing(kind::name)).toList();
    }

    /**
     * Adds a section of a complete document.
     *
     * @param section the section to add
     * @param findings receives the validation errors
     */
    void add(IniSection section, Findings findings) {
        if (byName.containsKey(section.name()) || invalidNames.contains(section.name())) {
            findings.add(section.file(), section.header(), "", "each section once", "it again");
            return;
        }
        readRecord(section, findings);
    }

    /**
     * Applies a {@code [set KIND NAME]} section of a patch: its keys replace those of the record with that name, and an
     * empty value removes a key.
     *
     * @param change the section of the patch
     * @param findings receives the validation errors of the resulting section
     */
    void change(IniSection change, Findings findings) {
        T before = byName.get(change.name());
        Map<String, String> entries = new LinkedHashMap<>();
        if (before != null) {
            kind.write(before, entries::put);
        }
        change.entries().forEach((key, value) -> {
            if (value.isEmpty() && kind.keys().contains(key)) {
                entries.remove(key);
            } else {
                entries.put(key, value);
            }
        });
        readRecord(new IniSection(change.file(), change.header(), entries), findings);
    }

    /**
     * Applies a {@code [remove KIND NAME]} section of a patch.
     *
     * @param removal the section that names the record to remove
     * @param findings receives the validation errors
     */
    void remove(IniSection removal, Findings findings) {
        String name = removal.name();
        origins.put(name, removal);
        if (byName.remove(name) == null) {
            String found = NearestName.hint(name, byName.keySet());
            findings.add(removal.file(), removal.header(), "", "the name of a " + kind.kindName(), found);
        }
        for (String key : removal.entries().keySet()) {
            findings.add(removal.file(), removal.header(), key, "no keys in a removal", key);
        }
    }

    private void readRecord(IniSection section, Findings findings) {
        SectionReader reader = new SectionReader(section, kind.keys(), findings);
        if (ValueType.NAME.parser().apply(section.name()).isEmpty()) {
            reader.add("", ValueType.NAME.expected(), section.name());
        }
        T value = kind.read(reader);
        origins.put(section.name(), section);
        if (reader.isValid()) {
            byName.put(section.name(), value);
        } else {
            byName.remove(section.name());
            invalidNames.add(section.name());
        }
    }

    /**
     * Returns the records that were read without a finding.
     *
     * @return the records by name
     */
    Map<String, T> byName() {
        return byName;
    }

    /**
     * Checks whether there is no section of this kind, not even an invalid one.
     *
     * @return true if there is no section
     */
    boolean isEmpty() {
        return byName.isEmpty() && invalidNames.isEmpty();
    }

    /**
     * Checks whether a section with the given name exists, even an invalid one.
     *
     * @param name the name of the record
     * @return true if the section exists, so that references to it are accepted
     */
    boolean exists(String name) {
        return byName.containsKey(name) || invalidNames.contains(name);
    }

    /**
     * Returns the section that defines a record.
     *
     * @param file the file name to report if the record comes from the base configuration
     * @param name the record's name
     * @return the section of the text, or an empty one with the same header for a record of the base configuration
     */
    IniSection origin(String file, String name) {
        return origins.getOrDefault(name, new IniSection(file, kind.kindName() + " " + name, Map.of()));
    }
}
