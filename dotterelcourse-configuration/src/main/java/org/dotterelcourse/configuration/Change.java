package org.dotterelcourse.configuration;

/**
 * A key whose value differs between two configurations.
 *
 * @param section the header of the section that contains the key, for example {@code class chat}
 * @param key the name of the key
 * @param before the previous value, empty if the key was absent
 * @param after the new value, empty if the key is absent
 */
public record Change(String section, String key, String before, String after) {}
