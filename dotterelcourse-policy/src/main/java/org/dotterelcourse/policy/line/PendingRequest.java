package org.dotterelcourse.policy.line;

/**
 * A request that waits in an {@link UpstreamQueue}.
 *
 * @param item the caller's own object for the request, compared by {@code equals}
 * @param priority the request's priority, 0 being the most urgent
 * @param customer the name of the customer that sent the request
 * @param arrivalNanos monotonic time in nanoseconds at which the request arrived
 * @param latestOnTimeStartNanos monotonic time in nanoseconds until which the request can be dispatched and still
 *     meet its latency target
 * @param latestUsefulStartNanos monotonic time in nanoseconds until which the request can be dispatched and still
 *     finish before its client gives up
 * @param <T> the type of the caller's object
 */
public record PendingRequest<T>(
        T item,
        int priority,
        String customer,
        long arrivalNanos,
        long latestOnTimeStartNanos,
        long latestUsefulStartNanos) {
    /**
     * Returns whether the request can no longer finish before its client gives up.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true if there is not enough time left
     */
    public boolean isExpired(long nowNanos) {
        return nowNanos - latestUsefulStartNanos > 0;
    }
}
