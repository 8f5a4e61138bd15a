package org.dotterelcourse.coordination.configuration;

/**
 * One published entry. Numbers rise by one.
 *
 * @param number the entry's number, from 1
 * @param whole whether it is a whole document; else a patch, whose body names its base
 * @param body the published bytes; not to be changed
 */
public record Entry(long number, boolean whole, byte[] body) {}
