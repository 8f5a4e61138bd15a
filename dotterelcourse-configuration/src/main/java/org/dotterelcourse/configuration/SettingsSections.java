package org.dotterelcourse.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The sections of a settings file by header. */
final class SettingsSections {
    private final Map<String, SectionReader> readers = new LinkedHashMap<>();

    private SettingsSections() {}

    /**
     * Parses a settings file.
     *
     * @param name the file's name, used in findings
     * @param ini the settings as INI text
     * @param keys the keys that each section may contain, by section header
     * @param findings receives the validation errors
     * @return a reader for each allowed section, including those that the file does not contain
     */
    static SettingsSections read(String name, String ini, Map<String, List<String>> keys, Findings findings) {
        Map<String, IniSection> sectionsByHeader = new LinkedHashMap<>();
        for (IniSection section : IniText.read(name, ini, findings)) {
            if (!keys.containsKey(section.header())) {
                String hint = NearestName.hint(section.header(), keys.keySet());
                findings.add(
                        name, section.header(), "", "one of the sections " + String.join(", ", keys.keySet()), hint);
            }
            sectionsByHeader.put(section.header(), section);
        }
        SettingsSections sections = new SettingsSections();
        keys.forEach((header, allowedKeys) -> {
            IniSection empty = new IniSection(name, header, Map.of());
            sections.readers.put(
                    header, new SectionReader(sectionsByHeader.getOrDefault(header, empty), allowedKeys, findings));
        });
        return sections;
    }

    /**
     * Returns the reader of a section.
     *
     * @param header the header of the section, one of the headers passed to {@link #read}
     * @return the reader of the section
     */
    SectionReader section(String header) {
        return readers.get(header);
    }
}
