package org.dotterelcourse.configuration;

/**
 * One key that differs between two configurations.
 *
 * @param section the header of the section that it stands in, as in {@code class chat}
 * @param key the key
 * @param before its value before, empty if it was not there
 * @param after its value after, empty if it is not there any more
 */
public record Change(String section, String key, String before, String after) {}
