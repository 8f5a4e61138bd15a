package org.dotterelcourse.coordination.ticket;

/**
 * What became of a call.
 *
 * @param result whether it ran
 * @param detail the embedder's payload for duplicates of the call, for instance the answer's status; may be empty
 */
public record TicketOutcome(Result result, byte[] detail) {
    /** Whether a call ran. */
    public enum Result {
        /** It ran and was answered. */
        ANSWERED,
        /** It truly did not run, and never will. */
        NOT_RUN,
        /** It may have run. */
        UNKNOWN
    }
}
