package org.dotterelcourse.daemon.audit;

/**
 * A change recorded in the audit trail.
 *
 * @param sequence number of the event in this process, starting at 1
 * @param atMillis time of the change in milliseconds since the Unix epoch
 * @param kind the kind of object that changed
 * @param subject name of the object that changed
 * @param cause reason for the change
 * @param before state before the change, empty if the object is new
 * @param after state after the change, empty if the object was removed
 */
public record AuditEvent(
        long sequence, long atMillis, Kind kind, String subject, String cause, String before, String after) {
    /** The kind of object that an event is about. */
    public enum Kind {
        /** The active configuration, or an entry that was rejected. */
        CONFIGURATION,
        /** The membership state of another daemon. */
        MEMBERSHIP,
        /** The owner of a cell or of a customer's limit. */
        OWNERSHIP,
        /** A worker of an upstream. */
        UPSTREAM,
        /** A data centre whose workers receive no requests. */
        EVACUATION,
        /** A request that is no longer dispatched because workers crash while they process it. */
        QUARANTINE,
        /** The number of requests per second that a worker accepts. */
        LIMIT,
        /** The number of rejections per second above which a worker crashes. */
        BRITTLE,
        /** The time for which a worker has asked this process to send it nothing. */
        BACKOFF,
        /** Whether this process has a link to any worker. */
        REACHABILITY,
        /** The measured speed of a worker relative to the others of its upstream. */
        PERFORMANCE,
        /** The shutdown of this process. */
        DRAINING,
        /** An order sent to an engine. */
        ORDER,
        /** This process, for example a pause of it. */
        PROCESS
    }
}
