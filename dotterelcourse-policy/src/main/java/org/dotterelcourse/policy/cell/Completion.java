package org.dotterelcourse.policy.cell;

/**
 * Outcome and measurements of a granted request.
 *
 * @param end how the request ended
 * @param firstTokenNanos time in nanoseconds from sending the request to the first token or byte of the answer; -1 if
 *     none arrived
 * @param durationNanos time in nanoseconds from sending the request to its end
 * @param outputTokens number of tokens of the answer received
 */
public record Completion(End end, long firstTokenNanos, long durationNanos, int outputTokens) {
    /** How a granted request ended. */
    public enum End {
        /** The whole answer was received. */
        ANSWERED,
        /** The worker rejected the request before executing it. */
        REFUSED,
        /** The connection could not be established; nothing was sent. */
        UNREACHABLE,
        /** The request failed after something had been sent. */
        FAILED,
        /** The worker reported that it is shutting down and accepts no more requests. */
        LEAVING,
        /** The caller disconnected, the scheduler preempted the request, or the grant was never used. */
        CANCELLED
    }
}
