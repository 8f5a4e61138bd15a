package org.dotterelcourse.configuration;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Parses an INI text into sections. Values are taken literally: lists are not split and variables are not substituted.
 *
 * <p>The sections are read from the node tree: a look-up by name searches all sections, so that parsing would take
 * quadratic time in the length of the document.
 */
final class IniText {
    private static final String KEY_ONCE = "each key once";

    private IniText() {}

    /**
     * Parses an INI text.
     *
     * @param file the file's name, used in findings
     * @param text the INI text
     * @param findings receives duplicate sections and keys, keys outside a section, and syntax errors
     * @return the sections in document order, with the first value of each key
     */
    static List<IniSection> read(String file, String text, Findings findings) {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            findings.add(file, "", "", "a text in INI", String.valueOf(e.getMessage()));
            return List.of();
        }
        reportRepeatedSections(file, text, findings);
        List<IniSection> sections = new ArrayList<>();
        for (ImmutableNode node : ini.getNodeModel().getNodeHandler().getRootNode()) {
            if (node.getValue() != null) {
                findings.add(
                        file, "", "", "every key inside a section", "key " + Findings.firstWord(node.getNodeName()));
                continue;
            }
            sections.add(section(file, node, findings));
        }
        return sections;
    }

    private static IniSection section(String file, ImmutableNode node, Findings findings) {
        Map<String, String> entries = new LinkedHashMap<>();
        String header = node.getNodeName().trim();
        for (ImmutableNode entry : node) {
            String previous = entries.putIfAbsent(entry.getNodeName(), String.valueOf(entry.getValue()));
            if (previous != null) {
                findings.add(file, header, entry.getNodeName(), KEY_ONCE, "it again");
            }
        }
        return new IniSection(file, header, entries);
    }

    /**
     * Reports repeated section headers. The INI parser merges sections with the same header, so that a duplicate would
     * silently change the first one.
     */
    private static void reportRepeatedSections(String file, String text, Findings findings) {
        Set<String> seen = new HashSet<>();
        for (String line : text.lines().map(String::trim).toList()) {
            boolean header = line.startsWith("[") && line.endsWith("]") && line.length() > 1;
            if (header && !seen.add(line)) {
                String section = line.substring(1, line.length() - 1).trim();
                findings.add(file, section, "", "each section once", "it again");
            }
        }
    }
}
