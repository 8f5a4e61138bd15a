package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects findings while a text is read, so that they are reported together. */
final class Findings {
    private final List<Finding> list = new ArrayList<>();

    void add(String file, String section, String key, String expected, String found) {
        list.add(new Finding(file, section, key, expected, found));
    }

    /**
     * Shortens an unknown key to its first word. A line without a separator is read as one long key; if somebody forgot
     * the equals sign before a bearer key, the finding would otherwise print that key.
     *
     * @param key the key as it was read
     * @return its first word, and dots for the rest
     */
    static String firstWord(String key) {
        int blank = key.trim().indexOf(' ');
        return blank < 0 ? key : key.trim().substring(0, blank) + " ...";
    }

    int count() {
        return list.size();
    }

    boolean none() {
        return list.isEmpty();
    }

    /**
     * Ends the reading of a text that was wrong.
     *
     * @param order the headers of the text's sections in their order
     * @param <T> what a right text would have held
     * @return the findings on the whole text first, then those of each section in that order
     */
    <T> Checked<T> invalid(List<String> order) {
        Map<String, Integer> places = new HashMap<>();
        places.put("", -1);
        for (int i = 0; i < order.size(); i++) {
            places.putIfAbsent(order.get(i), i);
        }
        list.sort(Comparator.comparingInt(each -> places.getOrDefault(each.section(), order.size())));
        return new Checked.Invalid<>(List.copyOf(list));
    }
}
