package org.dotterelcourse.gateway.routing;

/** What may be repeated, and how the answer comes. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs once at most. */
    NON_IDEMPOTENT,
    /** Is answered by a series of events; runs once at most, unless it may be resumed. */
    STREAMING
}
