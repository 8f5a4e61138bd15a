package org.dotterelcourse.coordination.ticket;

/**
 * Outcome of a call.
 *
 * @param result whether the call ran
 * @param detail opaque payload of the embedder for duplicates of the call, for instance the status of the answer; may
 *     be empty
 */
public record TicketOutcome(Result result, byte[] detail) {
    /** Whether a call ran. */
    public enum Result {
        /** The call ran and was answered. */
        ANSWERED,
        /** The call did not run and never will. */
        NOT_RUN,
        /** The call may have run. */
        UNKNOWN
    }
}
