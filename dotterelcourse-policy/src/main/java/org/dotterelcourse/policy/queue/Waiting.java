package org.dotterelcourse.policy.queue;

import org.dotterelcourse.policy.cell.CellRequest;

/**
 * A request that waits.
 *
 * @param ask the request
 * @param work its estimated work, in output tokens
 * @param expectedOutput how many of these are expected to be answer tokens
 * @param startByNanos when it must be granted at the latest to meet its target; an answer that has begun is never late
 * @param sequence its place among all that have entered, which settles ties
 */
public record Waiting(CellRequest ask, double work, double expectedOutput, long startByNanos, long sequence) {
    /**
     * Whether it can't meet its target any more.
     *
     * @param nowNanos the time
     * @return whether it can't
     */
    public boolean isLate(long nowNanos) {
        return startByNanos <= nowNanos;
    }
}
