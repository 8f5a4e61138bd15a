package org.dotterelcourse.policy.rate;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When this process sent one worker its last requests. Those from before its intake was known to be bounded count as
 * well: it may have been so already when they came.
 */
public final class SlidingWindowLog {
    /** No window that allows several requests is longer. Of others only the last request need be known. */
    private static final long KEPT_NANOS = 2_000_000_000L;

    private final Deque<Long> sentNanos = new ArrayDeque<>();

    /**
     * Whether one more request may be sent.
     *
     * @param share what this process may send
     * @param nowNanos the time
     * @return false if the share of the window that ends now is used up
     */
    public boolean allows(RateShare share, long nowNanos) {
        long inWindow = sentNanos.stream()
                .filter(sent -> nowNanos - sent < share.windowNanos())
                .count();
        return inWindow < share.requests();
    }

    /**
     * A request is sent.
     *
     * @param nowNanos the time
     */
    public void recordRequest(long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peekFirst() >= KEPT_NANOS) {
            sentNanos.removeFirst();
        }
        sentNanos.addLast(nowNanos);
    }
}
