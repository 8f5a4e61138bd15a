package org.dotterelcourse.policy.repeat;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This process's part of the fleet's budget of repeats to one upstream: over any window, a share of the requests that
 * came to this process, and an equal part of a fixed number that all processes have together.
 *
 * <p>It answers an upstream that fails or refuses much: without a bound, each failed request becomes two or more and
 * keeps the upstream down. The parts add up to the fleet's budget whatever the processes know of each other, because
 * each counts its own requests and divides the fixed number by the largest fleet that it has seen.
 */
public final class WindowedRetryBudget {
    /** Part of the budget that is used, so that a process that has restarted and counts anew stays within it. */
    private static final double USED = 0.8;

    private final double ratio;
    private final double extra;
    private final long windowNanos;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();
    private int processes = 1;

    /**
     * Makes a budget that nothing was spent of.
     *
     * @param ratio repeats for each request
     * @param extra repeats of the whole fleet in a window beside these
     * @param windowNanos the window's length
     */
    public WindowedRetryBudget(double ratio, double extra, long windowNanos) {
        this.ratio = ratio;
        this.extra = extra;
        this.windowNanos = windowNanos;
    }

    /**
     * The size of the fleet is known.
     *
     * @param count processes, this one included
     */
    public void recordFleetSize(int count) {
        processes = Math.max(processes, count);
    }

    /**
     * A request for the upstream has come.
     *
     * @param nowNanos the time
     */
    public void recordRequest(long nowNanos) {
        forget(nowNanos);
        requests.addLast(nowNanos);
    }

    /**
     * Takes one repeat if there is one left.
     *
     * @param nowNanos the time
     * @return whether the request may be sent once more
     */
    public boolean tryAcquire(long nowNanos) {
        forget(nowNanos);
        if (repeats.size() + 1 > left()) {
            return false;
        }
        repeats.addLast(nowNanos);
        return true;
    }

    private double left() {
        return USED * (ratio * requests.size() + extra / processes);
    }

    private void forget(long nowNanos) {
        while (!requests.isEmpty() && nowNanos - requests.peekFirst() > windowNanos) {
            requests.removeFirst();
        }
        while (!repeats.isEmpty() && nowNanos - repeats.peekFirst() > windowNanos) {
            repeats.removeFirst();
        }
    }
}
