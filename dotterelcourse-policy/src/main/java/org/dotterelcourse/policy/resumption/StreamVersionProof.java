package org.dotterelcourse.policy.resumption;

/**
 * A software version that a resumed stream belongs to, and what proves it.
 *
 * @param version the version; empty if the stream began at a worker of unknown version
 * @param kind what proves it
 */
public record StreamVersionProof(String version, Kind kind) {
    /** What proves the version of a stream. */
    public enum Kind {
        /** A process has recorded it when it sent the stream's request. */
        RECORD,
        /** The upstream has had no other version for longer than any stream lasts. */
        ONLY_VERSION,
        /** Only workers of this version keep the part of the prompt that belongs to the stream's request alone. */
        KEPT_PART
    }
}
