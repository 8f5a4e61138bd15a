package org.dotterelcourse.policy.start;

/**
 * Decides which requests a process whose event loop is behind still forwards. Handles the load after a loss of all processes
 * on VMs that are too slow for it: if requests are forwarded in the order of their arrival until their deadlines, each one
 * has waited so long that none ends in time, and workers run for clients that have left.
 */
public final class BacklogWait {
    /** A request that has waited for a longer part of its time is left to a process that is less busy. */
    private static final int TIMEOUT_DIVISOR = 2;

    /** Shortest time after which a rejected client should retry: by then its addresses reflect which processes are busy. */
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    /** Clients follow a time of up to a third of what they have left, 10 s at most. */
    private static final long MAX_RETRY_AFTER_MILLIS = 3_000;

    /** Rejecting a request takes its part of the loop, too, so that clients stay away for longer from one that is later. */
    private static final long LAG_FACTOR = 4;

    private BacklogWait() {}

    /**
     * Returns whether a request that has waited for the event loop has enough time left to be forwarded.
     *
     * @param arrivalNanos monotonic time in nanoseconds of the request's arrival
     * @param deadlineNanos monotonic time in nanoseconds of the request's deadline
     * @param nowNanos current monotonic time in nanoseconds
     * @return false if the request has used half of its time
     */
    public static boolean hasTimeLeft(long arrivalNanos, long deadlineNanos, long nowNanos) {
        return nowNanos - arrivalNanos < (deadlineNanos - arrivalNanos) / TIMEOUT_DIVISOR;
    }

    /**
     * Returns after which time a rejected client should retry.
     *
     * @param lagMillis how late the event loop is, in milliseconds
     * @return milliseconds, more the later the loop is
     */
    public static long retryAfterMillis(long lagMillis) {
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, LAG_FACTOR * lagMillis));
    }
}
