package org.dotterelcourse.policy.repeat;

/**
 * Outlier detection for one worker, based on the outcomes of this process's own requests: the number of consecutive failures
 * and an exponentially weighted average (EWMA) of the failure rate.
 *
 * <p>It handles a worker that has disappeared or fails some of its requests while its health check passes. Without it, each process
 * would send the worker a share of all requests until the platform removes it from the list, possibly never. The worker is
 * avoided for a time that doubles with each further suspicion; a success ends the suspicion, provided that the failure rate
 * is low. Whether other workers can take the load is up to the selectors, which use suspected workers if there are no
 * others.
 */
public final class LocalSuspicion {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** A single refused or reset connection may be chance; two in a row from one worker rarely are. */
    private static final int CONSECUTIVE_FAILURES = 2;

    private static final long INITIAL_BACKOFF_NANOS = 500 * NANOS_PER_MILLI;
    private static final long MAX_BACKOFF_NANOS = 4_000 * NANOS_PER_MILLI;

    /**
     * Average failure rate above which a worker is avoided even though some requests succeed. Services in use answer up to
     * 14 in 100 requests with an error during normal operation; three standard deviations of the average above that are
     * 0.38.
     */
    private static final double FAILING_SHARE = 0.4;

    /** Weight of the newest outcome in the average, which then covers about the last twenty outcomes. */
    private static final double NEWEST_WEIGHT = 0.1;

    private int consecutiveFailures;
    private double failingShare;
    private long suspectedUntilNanos;
    private long backoffNanos = INITIAL_BACKOFF_NANOS;
    private boolean suspected;

    /**
     * Records a successful request.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordSuccess(long nowNanos) {
        consecutiveFailures = 0;
        failingShare *= 1 - NEWEST_WEIGHT;
        if (failingShare < FAILING_SHARE / 2) {
            backoffNanos = INITIAL_BACKOFF_NANOS;
            suspected = false;
        }
    }

    /**
     * Records a request that failed without a complete answer: its connection was reset, its answer was truncated, or it was
     * rejected.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordFailure(long nowNanos) {
        consecutiveFailures++;
        recordErrorResponse(nowNanos);
        if (consecutiveFailures >= CONSECUTIVE_FAILURES) {
            suspect(nowNanos);
        }
    }

    /**
     * Records a complete answer that reports an error of the worker. Some of these are normal, even two in a row, so they
     * count for the failure rate but not as consecutive failures.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordErrorResponse(long nowNanos) {
        failingShare = failingShare * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        if (failingShare > FAILING_SHARE) {
            suspect(nowNanos);
        }
    }

    /**
     * Records that no connection to the worker could be established: it was refused or timed out. One failure suffices to
     * avoid the worker, since each further request would fail the same way.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordConnectFailure(long nowNanos) {
        consecutiveFailures++;
        suspect(nowNanos);
    }

    private void suspect(long nowNanos) {
        if (!isSuspected(nowNanos)) {
            suspectedUntilNanos = nowNanos + backoffNanos;
            backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
        }
        suspected = true;
    }

    /**
     * Whether the worker should be avoided.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return true until the backoff has passed or a success has ended the suspicion
     */
    public boolean isSuspected(long nowNanos) {
        return suspected && nowNanos - suspectedUntilNanos < 0;
    }
}
