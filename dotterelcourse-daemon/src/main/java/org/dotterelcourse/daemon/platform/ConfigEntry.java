package org.dotterelcourse.daemon.platform;

/**
 * One entry of the platform's versioned configuration.
 *
 * @param number version number assigned by the platform
 * @param kind whether the entry is a whole document or a patch
 * @param text the document or patch in INI format
 */
public record ConfigEntry(long number, Kind kind, String text) {
    /** Type of an entry. */
    public enum Kind {
        /** A whole configuration document. */
        WHOLE,
        /** Changes to the document with the base number given in the patch. */
        PATCH
    }
}
