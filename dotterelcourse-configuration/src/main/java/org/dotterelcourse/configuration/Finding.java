package org.dotterelcourse.configuration;

/**
 * One thing wrong with a text that somebody wrote, with its place. Findings are collected and reported together.
 *
 * @param file the file's or document's name
 * @param section the section, empty if the finding is about the whole file
 * @param key the key, empty if the finding is about the whole section
 * @param expected what was expected there
 * @param found what was found
 */
public record Finding(String file, String section, String key, String expected, String found) {
    @Override
    public String toString() {
        String place = section.isEmpty() ? file : file + " [" + section + "]" + (key.isEmpty() ? "" : " " + key);
        return place + ": expected " + expected + ", found " + found;
    }
}
