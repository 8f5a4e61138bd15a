package org.dotterelcourse.policy.queue;

import org.dotterelcourse.policy.cell.CellRequest;

/**
 * A queued request with its estimates.
 *
 * @param request the request
 * @param work its estimated cost, in output tokens
 * @param expectedOutput the part of the cost that is the expected number of tokens of the answer
 * @param latestStartNanos monotonic time in nanoseconds by which it must be granted to meet its target; {@link
 *     Long#MAX_VALUE} for a resumed request, which is never late
 * @param sequence number of the request in order of arrival at the scheduler, as a tie-breaker
 */
public record QueuedRequest(
        CellRequest request, double work, double expectedOutput, long latestStartNanos, long sequence) {
    /**
     * Whether the request can no longer meet its target.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return whether its latest start time has passed
     */
    public boolean isLate(long nowNanos) {
        return latestStartNanos <= nowNanos;
    }
}
