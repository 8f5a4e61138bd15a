package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects the validation errors of a text, so that they are reported together. */
final class Findings {
    private final List<Finding> list = new ArrayList<>();

    void add(String file, String section, String key, String expected, String found) {
        list.add(new Finding(file, section, key, expected, found));
    }

    /**
     * Shortens an unknown key to its first word. The INI parser reads a line without a separator as one long key; if
     * the equals sign before a bearer key is missing, the finding would otherwise reveal the bearer key.
     *
     * @param key the key as parsed
     * @return the first word, followed by an ellipsis if there is more
     */
    static String firstWord(String key) {
        int spaceIndex = key.trim().indexOf(' ');
        return spaceIndex < 0 ? key : key.trim().substring(0, spaceIndex) + " ...";
    }

    int count() {
        return list.size();
    }

    boolean isEmpty() {
        return list.isEmpty();
    }

    /**
     * Creates the result for an invalid text.
     *
     * @param sectionOrder the section headers in document order
     * @param <T> the type of the value that a valid text yields
     * @return the findings about the whole text, followed by those about each section in the given order
     */
    <T> Checked<T> toInvalid(List<String> sectionOrder) {
        Map<String, Integer> positions = new HashMap<>();
        positions.put("", -1);
        for (int i = 0; i < sectionOrder.size(); i++) {
            positions.putIfAbsent(sectionOrder.get(i), i);
        }
        list.sort(Comparator.comparingInt(each -> positions.getOrDefault(each.section(), sectionOrder.size())));
        return new Checked.Invalid<>(List.copyOf(list));
    }
}
