package org.dotterelcourse.configuration;

import java.util.Map;

/**
 * One section of an INI text.
 *
 * @param file the text's name, for findings
 * @param header what stands between the brackets
 * @param entries the values by key, in the order of the text
 */
record IniSection(String file, String header, Map<String, String> entries) {
    /**
     * The header's words before the last one.
     *
     * @return the kind of section, empty if the header is a single word
     */
    String kind() {
        int space = header.lastIndexOf(' ');
        return space < 0 ? "" : header.substring(0, space).trim();
    }

    /**
     * The header's last word.
     *
     * @return the name of what the section describes
     */
    String name() {
        return header.substring(header.lastIndexOf(' ') + 1);
    }
}
