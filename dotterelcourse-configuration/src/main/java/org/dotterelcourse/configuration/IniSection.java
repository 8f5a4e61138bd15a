package org.dotterelcourse.configuration;

import java.util.Map;

/**
 * One section of an INI text.
 *
 * @param file the file's name, used in findings
 * @param header the text between the brackets
 * @param entries the values by key, in document order
 */
record IniSection(String file, String header, Map<String, String> entries) {
    /**
     * Returns the kind of the section: the words of the header before the last one.
     *
     * @return the kind, empty if the header is a single word
     */
    String kind() {
        int space = header.lastIndexOf(' ');
        return space < 0 ? "" : header.substring(0, space).trim();
    }

    /**
     * Returns the last word of the header.
     *
     * @return the name of the record that the section defines
     */
    String name() {
        return header.substring(header.lastIndexOf(' ') + 1);
    }
}
