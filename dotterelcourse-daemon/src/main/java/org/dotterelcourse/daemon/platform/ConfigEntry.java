package org.dotterelcourse.daemon.platform;

/**
 * What the platform has published under one number.
 *
 * @param number the number
 * @param kind a whole document or a patch
 * @param text INI text
 */
public record ConfigEntry(long number, Kind kind, String text) {
    /** What an entry holds. */
    public enum Kind {
        /** A whole document. */
        WHOLE,
        /** Changes to the document of the number it names. */
        PATCH
    }
}
