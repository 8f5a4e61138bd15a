package org.dotterelcourse.coordination.configuration;

/**
 * One published entry: a whole document, or a patch of the document in force. Entries are numbered consecutively.
 *
 * @param number the entry's number, starting at 1
 * @param whole whether the body is a whole document; otherwise it is a patch and names the number that it is based on
 * @param body the published bytes; must not be modified
 */
public record Entry(long number, boolean whole, byte[] body) {}
