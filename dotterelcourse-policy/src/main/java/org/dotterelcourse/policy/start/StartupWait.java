package org.dotterelcourse.policy.start;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long requests wait for the first routing table of a process, and how many of them are forwarded at a time
 * afterwards. Handles the load after a loss of all processes: all clients return at once, before any process can serve.
 */
public final class StartupWait {
    /** A request waits at most this part of its timeout, so that time remains for its execution or for a retry. */
    private static final long TIMEOUT_DIVISOR = 3;

    /** A request waits at most this part of its target latency beyond the expected time of readiness. */
    private static final long TARGET_DIVISOR = 8;

    /**
     * Targets are unknown before the first routing table. Of the required ones, the shortest is a twelfth of its timeout
     * (339 ms of 4,128 ms).
     */
    private static final long TIMEOUT_PER_TARGET = 12;

    /** Waiting requests fill the workers' slots within this number of rounds. */
    private static final int ROUNDS_TO_FILL_SLOTS = 10;

    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    private final long expectedReadyNanos;

    /**
     * Creates the decision for one start of a process.
     *
     * @param listeningNanos monotonic time in nanoseconds since when the process accepts connections
     * @param expectedMillis expected time in milliseconds from then until the process can serve
     */
    public StartupWait(long listeningNanos, long expectedMillis) {
        expectedReadyNanos = listeningNanos + TimeUnit.MILLISECONDS.toNanos(expectedMillis);
    }

    /**
     * Returns until when a request waits for the routing table.
     *
     * @param arrivalNanos monotonic time in nanoseconds of the request's arrival
     * @param timeoutMillis timeout of the request's client in milliseconds
     * @return monotonic time in nanoseconds
     */
    public long deadlineNanos(long arrivalNanos, long timeoutMillis) {
        long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, timeoutMillis));
        long remainingNanos = Math.max(0, expectedReadyNanos - arrivalNanos);
        long marginNanos = timeoutNanos / TIMEOUT_PER_TARGET / TARGET_DIVISOR;
        return arrivalNanos + Math.min(timeoutNanos / TIMEOUT_DIVISOR, remainingNanos + marginNanos);
    }

    /**
     * Returns after which time a rejected client should retry.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return milliseconds until the process is expected to serve, at least 100
     */
    public long retryAfterMillis(long nowNanos) {
        return Math.max(MIN_RETRY_AFTER_MILLIS, TimeUnit.NANOSECONDS.toMillis(expectedReadyNanos - nowNanos));
    }

    /**
     * Returns how many waiting requests are forwarded in one round once the process can serve.
     *
     * @param slots slots of all known workers
     * @param processes number of processes that share the workers, at least 1
     * @return a tenth of this process's part of the slots, at least 1
     */
    public static int batchSize(int slots, int processes) {
        return Math.max(1, slots / Math.max(1, processes) / ROUNDS_TO_FILL_SLOTS);
    }
}
