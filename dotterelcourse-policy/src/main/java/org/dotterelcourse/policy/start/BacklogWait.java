package org.dotterelcourse.policy.start;

/**
 * Decides which requests a process whose event loop is behind still forwards. Handles the load after a loss of all processes
 * on VMs that are too slow for it: if requests are forwarded in the order of their arrival until their deadlines, each one
 * has waited so long that none ends in time, and workers run for clients that have left.
 */
public final class BacklogWait {
    /** A request that has waited for a longer part of its time is left to a process that is less busy. */
    private static final int TIMEOUT_DIVISOR = 2;

    /** Time after which a rejected client should retry: by then its addresses reflect which processes are busy. */
    private static final long RETRY_AFTER_MILLIS = 500;

    /** Lateness of the event loop above which requests that have begun come before new ones. */
    private static final long MAX_LAG_MILLIS = 250;

    private BacklogWait() {}

    /**
     * Returns how many waiting requests may begin before the event loop has turned to the others again. Each one needs the
     * loop several times until its end; if all began at once, none would end in time.
     *
     * @param lagMillis how late the event loop is, in milliseconds
     * @return 1 if the loop is far behind, otherwise no limit
     */
    public static int batchSize(long lagMillis) {
        return lagMillis > MAX_LAG_MILLIS ? 1 : Integer.MAX_VALUE;
    }

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
     * @return milliseconds
     */
    public static long retryAfterMillis() {
        return RETRY_AFTER_MILLIS;
    }
}
