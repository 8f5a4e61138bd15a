package org.dotterelcourse.policy.cell;

/**
 * What was seen of a granted request when it ended.
 *
 * @param end how it ended
 * @param firstTokenNanos from sending to the first token or byte of the answer; -1 if there was none
 * @param durationNanos from sending to the end
 * @param outputTokens tokens of the answer that arrived
 */
public record Completion(End end, long firstTokenNanos, long durationNanos, int outputTokens) {
    /** How a granted request ended. */
    public enum End {
        /** The whole answer arrived. */
        ANSWERED,
        /** The worker refused before it started. */
        REFUSED,
        /** The connection could not be made; nothing was sent. */
        UNREACHABLE,
        /** It failed after something was sent. */
        FAILED,
        /** The worker says that it takes no more work. */
        LEAVING,
        /** The caller went away, the scheduler preempted it, or the grant was never used. */
        CANCELLED
    }
}
