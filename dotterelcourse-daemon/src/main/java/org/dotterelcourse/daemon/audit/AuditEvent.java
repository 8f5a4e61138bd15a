package org.dotterelcourse.daemon.audit;

/**
 * One change, as the audit trail keeps it.
 *
 * @param sequence the event's number in this process, from 1
 * @param atMillis when, in milliseconds since 1970
 * @param kind what changed
 * @param subject which one
 * @param cause why
 * @param before what it was, empty if it is new
 * @param after what it is now, empty if it is gone
 */
public record AuditEvent(
        long sequence, long atMillis, Kind kind, String subject, String cause, String before, String after) {
    /** What an event is about. */
    public enum Kind {
        /** The configuration in force, or an entry that was refused. */
        CONFIGURATION,
        /** Another daemon. */
        MEMBERSHIP,
        /** Who owns a cell or a customer's limit. */
        OWNERSHIP,
        /** A worker of an upstream. */
        UPSTREAM,
        /** A data centre whose workers are to get nothing. */
        EVACUATION,
        /** A request that is kept from workers because they crash under it. */
        QUARANTINE,
        /** How many requests a worker takes in a second. */
        LIMIT,
        /** A shutdown. */
        DRAINING,
        /** An order to an engine. */
        ORDER,
        /** The process itself. */
        PROCESS
    }
}
