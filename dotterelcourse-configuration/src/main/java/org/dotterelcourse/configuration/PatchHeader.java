package org.dotterelcourse.configuration;

/**
 * Who made a patch, why, and against which number.
 *
 * @param base the number of the configuration that it applies to
 * @param author who made it
 * @param reason why
 */
public record PatchHeader(long base, String author, String reason) {}
