package org.dotterelcourse.gateway.routing;

/** Whether the requests of a route may be retried, and how responses are sent. */
public enum RequestKind {
    /** May be executed more than once. */
    IDEMPOTENT,
    /** Is executed at most once. */
    NON_IDEMPOTENT,
    /** The response is a stream of events. Is executed at most once, unless the stream is resumable. */
    STREAMING
}
