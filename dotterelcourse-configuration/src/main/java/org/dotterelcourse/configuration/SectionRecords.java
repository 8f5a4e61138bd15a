package org.dotterelcourse.configuration;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The records of one kind of section in a document that is being put together.
 *
 * @param <T> the record
 */
final class SectionRecords<T> {
    private final SectionKind<T> kind;
    private final Map<String, T> byName = new LinkedHashMap<>();
    private final Map<String, IniSection> origins = new HashMap<>();
    private List<T> base;
    private final Set<String> unsound = new HashSet<>();

    SectionRecords(SectionKind<T> kind) {
        this.kind = kind;
    }

    /**
     * Starts from the records that are in force.
     *
     * @param records the records, sorted by name
     */
    void startFrom(List<T> records) {
        records.forEach(each -> byName.put(kind.name(each), each));
        base = records;
    }

    /**
     * All records, to be asked for only when there were no findings.
     *
     * @return the records sorted by name; if none was changed the list that it started from, with its indexes
     */
    List<T> sorted() {
        if (base != null && origins.isEmpty()) {
            return base;
        }
        return byName.values().stream().sorted(Comparator.comparing(kind::name)).toList();
    }

    /**
     * Takes a section of a whole document.
     *
     * @param section the section
     * @param findings takes what is wrong with it
     */
    void add(IniSection section, Findings findings) {
        if (byName.containsKey(section.name()) || unsound.contains(section.name())) {
            findings.add(section.file(), section.header(), "", "each section once", "it again");
            return;
        }
        readInto(section, findings);
    }

    /**
     * Takes a patch's change: its keys replace those of the section of that name, an empty value takes a key away.
     *
     * @param change the change
     * @param findings takes what is wrong with the section that results
     */
    void change(IniSection change, Findings findings) {
        T before = byName.get(change.name());
        Map<String, String> entries = new LinkedHashMap<>();
        if (before != null) {
            kind.write(before, entries::put);
        }
        change.entries().forEach((key, text) -> {
            if (text.isEmpty() && kind.keys().contains(key)) {
                entries.remove(key);
            } else {
                entries.put(key, text);
            }
        });
        readInto(new IniSection(change.file(), change.header(), entries), findings);
    }

    /**
     * Takes a patch's removal.
     *
     * @param removal the section that names what goes
     * @param findings takes what is wrong with it
     */
    void remove(IniSection removal, Findings findings) {
        String name = removal.name();
        origins.put(name, removal);
        if (byName.remove(name) == null) {
            String found = NearestName.hint(name, byName.keySet());
            findings.add(removal.file(), removal.header(), "", "the name of a " + kind.word(), found);
        }
        for (String key : removal.entries().keySet()) {
            findings.add(removal.file(), removal.header(), key, "no keys in a removal", key);
        }
    }

    private void readInto(IniSection section, Findings findings) {
        SectionReader reader = new SectionReader(section, kind.keys(), findings);
        if (Value.NAMED.parser().apply(section.name()).isEmpty()) {
            reader.add("", Value.NAMED.expected(), section.name());
        }
        T value = kind.read(reader);
        origins.put(section.name(), section);
        if (reader.sound()) {
            byName.put(section.name(), value);
        } else {
            byName.remove(section.name());
            unsound.add(section.name());
        }
    }

    /**
     * The records that were read without a finding.
     *
     * @return the records by name
     */
    Map<String, T> byName() {
        return byName;
    }

    /**
     * Whether there is no section of this kind, not even one with findings of its own.
     *
     * @return true if there is none
     */
    boolean isEmpty() {
        return byName.isEmpty() && unsound.isEmpty();
    }

    /**
     * Whether a section of that name exists, even one with findings of its own.
     *
     * @param name the name
     * @return true if something may refer to it
     */
    boolean exists(String name) {
        return byName.containsKey(name) || unsound.contains(name);
    }

    /**
     * Where a record comes from.
     *
     * @param file the file to name if the record was there before
     * @param name the record's name
     * @return its section
     */
    IniSection origin(String file, String name) {
        return origins.getOrDefault(name, new IniSection(file, kind.word() + " " + name, Map.of()));
    }
}
