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
 * Reads an INI text into its sections. Values are taken as they stand: no lists are split and no variables replaced.
 *
 * <p>The sections are read from the node tree, because a look-up by name searches all sections and makes a long
 * document quadratic.
 */
final class IniText {
    private static final String KEY_ONCE = "each key once";

    private IniText() {}

    /**
     * Reads a text.
     *
     * @param file its name, for findings
     * @param text the text
     * @param findings takes duplicate sections and keys, keys outside a section, and a text that can't be read
     * @return the sections in the order of the text, the first value of each key
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

    /** The INI reader merges sections of one name without a word, so that one would silently change the other. */
    private static void reportRepeatedSections(String file, String text, Findings findings) {
        Set<String> seen = new HashSet<>();
        for (String trimmed : text.lines().map(String::trim).toList()) {
            boolean header = trimmed.startsWith("[") && trimmed.endsWith("]") && trimmed.length() > 1;
            if (header && !seen.add(trimmed)) {
                String section = trimmed.substring(1, trimmed.length() - 1).trim();
                findings.add(file, section, "", "each section once", "it again");
            }
        }
    }
}
