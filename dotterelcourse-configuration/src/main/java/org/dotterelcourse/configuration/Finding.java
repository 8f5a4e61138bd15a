package org.dotterelcourse.configuration;

/**
 * A validation error in a configuration document, patch or settings file, with its location.
 *
 * @param file the name of the file or document
 * @param section the header of the section, empty if the finding is about the whole file
 * @param key the name of the key, empty if the finding is about the whole section
 * @param expected the expected content
 * @param found the actual content, or a description that does not reveal secrets
 */
public record Finding(String file, String section, String key, String expected, String found) {
    @Override
    public String toString() {
        String location = section.isEmpty() ? file : file + " [" + section + "]" + (key.isEmpty() ? "" : " " + key);
        return location + ": expected " + expected + ", found " + found;
    }
}
