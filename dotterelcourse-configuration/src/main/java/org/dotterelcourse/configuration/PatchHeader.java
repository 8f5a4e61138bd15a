package org.dotterelcourse.configuration;

/**
 * The header of a patch: its author, its reason and the number of its base.
 *
 * @param base the number of the configuration that the patch applies to
 * @param author the author of the patch
 * @param reason why the patch was made, as free text
 */
public record PatchHeader(long base, String author, String reason) {}
