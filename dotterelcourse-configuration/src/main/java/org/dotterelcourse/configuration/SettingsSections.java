package org.dotterelcourse.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The sections of a settings file, each once and each known by name. */
final class SettingsSections {
    private final Map<String, SectionReader> readers = new LinkedHashMap<>();

    private SettingsSections() {}

    /**
     * Reads a text.
     *
     * @param name the file's name, for findings
     * @param ini the text
     * @param keys the sections that it may have, with their keys
     * @param findings takes what is wrong
     * @return a reader for each of the sections, also for those that the text lacks
     */
    static SettingsSections read(String name, String ini, Map<String, List<String>> keys, Findings findings) {
        Map<String, IniSection> found = new LinkedHashMap<>();
        for (IniSection section : IniText.read(name, ini, findings)) {
            if (!keys.containsKey(section.header())) {
                String hint = NearestName.hint(section.header(), keys.keySet());
                findings.add(
                        name, section.header(), "", "one of the sections " + String.join(", ", keys.keySet()), hint);
            }
            found.put(section.header(), section);
        }
        SettingsSections sections = new SettingsSections();
        keys.forEach((header, known) -> {
            IniSection empty = new IniSection(name, header, Map.of());
            sections.readers.put(header, new SectionReader(found.getOrDefault(header, empty), known, findings));
        });
        return sections;
    }

    /**
     * Finds a section.
     *
     * @param header its header, one of those that were given to read
     * @return its reader
     */
    SectionReader section(String header) {
        return readers.get(header);
    }
}
