package org.dotterelcourse.policy.rate;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sliding window log of the requests that this process sent to one worker. Requests are logged even before a limit is
 * known for the worker, because the limit may already have applied when they arrived.
 */
public final class SlidingWindowLog {
    /**
     * Time for which requests are kept. No window that allows several requests is longer; for longer windows the last
     * request is sufficient.
     */
    private static final long RETENTION_NANOS = 2_000_000_000L;

    private final Deque<Long> sentNanos = new ArrayDeque<>();

    /**
     * Checks whether one more request may be sent now.
     *
     * @param share the limit of this process
     * @param nowNanos the current monotonic time in nanoseconds
     * @return false if the window that ends now already contains the allowed number of requests
     */
    public boolean allows(RateShare share, long nowNanos) {
        long inWindow = sentNanos.stream()
                .filter(sent -> nowNanos - sent < share.windowNanos())
                .count();
        return inWindow < share.requests();
    }

    /**
     * Records that a request is sent.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void recordRequest(long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peekFirst() >= RETENTION_NANOS) {
            sentNanos.removeFirst();
        }
        sentNanos.addLast(nowNanos);
    }
}
