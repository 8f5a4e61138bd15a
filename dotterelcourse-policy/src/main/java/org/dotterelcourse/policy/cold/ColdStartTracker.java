package org.dotterelcourse.policy.cold;

/**
 * Tracks whether one worker is in its cold start, from the worker's own report or from signs of an unreported restart.
 *
 * <p>A worker reports its start some tenths of a second after its first answer. Until then it looks like any other idle
 * worker, and all processes would send it requests at once. The tracker therefore also assumes a restart where one is
 * likely: a worker that could not be reached or broke its requests is probably a new process when it answers again, and
 * the workers of an evacuated data centre are cold when it is put back into service.
 */
public final class ColdStartTracker {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private boolean reportedCold;
    private long reportedUntilNanos;
    private boolean assumedCold;
    private long assumedSinceNanos;

    /**
     * Records the worker's report of the rest of its cold start. It replaces an earlier report.
     *
     * @param remainingMillis remaining time in milliseconds; 0 if the worker is not cold
     * @param nowNanos monotonic time in nanoseconds at which the report was received
     */
    public void recordReport(long remainingMillis, long nowNanos) {
        reportedCold = remainingMillis > 0;
        reportedUntilNanos = nowNanos + remainingMillis * NANOS_PER_MILLI;
    }

    /**
     * Assumes that the worker is restarting now.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void assumeRestarted(long nowNanos) {
        assumedCold = true;
        assumedSinceNanos = nowNanos;
    }

    /**
     * Records that the worker has completed a request. If it was sent before the assumed restart, there was none: a worker
     * that was silent for a while has kept its requests.
     *
     * @param sentNanos monotonic time in nanoseconds at which the request was sent
     */
    public void recordCompletion(long sentNanos) {
        if (assumedCold && sentNanos - assumedSinceNanos < 0) {
            assumedCold = false;
        }
    }

    /** Withdraws the assumption of a restart; what the worker has reported remains. */
    public void forgetAssumedRestart() {
        assumedCold = false;
    }

    /**
     * Whether the worker counts as cold.
     *
     * @param coldStart cold-start limits of the worker's upstream
     * @param nowNanos current monotonic time in nanoseconds
     * @return true until both the reported time and the configured time since the last assumed restart have passed; always
     *     false if the upstream has no limits
     */
    public boolean isCold(ColdStart coldStart, long nowNanos) {
        return coldStart.hasRateLimit()
                && (reportedCold && nowNanos - reportedUntilNanos < 0
                        || assumedCold && nowNanos - assumedSinceNanos < coldStart.millis() * NANOS_PER_MILLI);
    }
}
