package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.List;

/** Collects findings while a text is read, so that they are reported together. */
final class Findings {
    private final List<Finding> list = new ArrayList<>();

    void add(String file, String section, String key, String expected, String found) {
        list.add(new Finding(file, section, key, expected, found));
    }

    int count() {
        return list.size();
    }

    boolean none() {
        return list.isEmpty();
    }

    <T> Checked<T> invalid() {
        return new Checked.Invalid<>(List.copyOf(list));
    }
}
