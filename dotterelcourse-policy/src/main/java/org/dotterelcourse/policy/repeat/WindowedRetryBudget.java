package org.dotterelcourse.policy.repeat;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Retry budget of this process for one upstream, over a sliding window. It allows a fraction of the requests that this
 * process received in the window, plus an equal share of a fixed number of retries for the whole fleet.
 *
 * <p>It handles an upstream that fails or rejects many requests: without a limit, each failed request becomes two or more
 * and keeps the upstream overloaded. The shares stay within the fleet's budget whatever the processes know of each other,
 * because each counts its own requests and divides the fixed number by the largest fleet size that it has seen.
 */
public final class WindowedRetryBudget {
    /** Fraction of the budget that is used. The rest covers a restarted process, which counts from zero again. */
    private static final double USED_FRACTION = 0.8;

    private final double ratio;
    private final double extra;
    private final long windowNanos;
    private final Deque<Long> requestTimes = new ArrayDeque<>();
    private final Deque<Long> retryTimes = new ArrayDeque<>();
    private int processes = 1;

    /**
     * Creates an unused budget.
     *
     * @param ratio retries allowed per request
     * @param extra further retries allowed in each window, for the whole fleet
     * @param windowNanos length of the window in nanoseconds
     */
    public WindowedRetryBudget(double ratio, double extra, long windowNanos) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowNanos = windowNanos;
    }

    /**
     * Records the current size of the fleet. The largest recorded size is kept.
     *
     * @param count number of processes, including this one
     */
    public void recordFleetSize(int count) {
        processes = Math.max(processes, count);
    }

    /**
     * Records a request for the upstream.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordRequest(long nowNanos) {
        removeExpired(nowNanos);
        requestTimes.addLast(nowNanos);
    }

    /**
     * Acquires a retry if the budget allows it.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return true if the request may be sent again; false if the budget of the window is exhausted
     */
    public boolean tryAcquire(long nowNanos) {
        removeExpired(nowNanos);
        if (retryTimes.size() + 1 > limit()) {
            return false;
        }
        retryTimes.addLast(nowNanos);
        return true;
    }

    private double limit() {
        return USED_FRACTION * (ratio * requestTimes.size() + extra / processes);
    }

    private void removeExpired(long nowNanos) {
        while (!requestTimes.isEmpty() && nowNanos - requestTimes.peekFirst() > windowNanos) {
            requestTimes.removeFirst();
        }
        while (!retryTimes.isEmpty() && nowNanos - retryTimes.peekFirst() > windowNanos) {
            retryTimes.removeFirst();
        }
    }
}
