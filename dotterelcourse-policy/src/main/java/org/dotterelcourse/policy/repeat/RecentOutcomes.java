package org.dotterelcourse.policy.repeat;

/**
 * Counts the recent successes and failures of requests at one worker, with exponential decay.
 *
 * <p>Unlike the averages of {@link LocalSuspicion}, the counts of several processes can be added up. This serves large
 * fleets, in which one process sends a worker a request only about every ten seconds and would by itself detect a failing
 * worker only after half a minute.
 */
public final class RecentOutcomes {
    /**
     * Half-life of the counts: long enough to avoid a suspected worker for several seconds, about as long as crashed
     * workers are absent, and short enough to use a recovered worker again within ten seconds.
     */
    private static final double HALF_LIFE_NANOS = 3e9;

    private double successes;
    private double failures;
    private long lastNanos;

    /**
     * Records a successful request.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordSuccess(long nowNanos) {
        decay(nowNanos);
        successes++;
    }

    /**
     * Records a failed request.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordFailure(long nowNanos) {
        decay(nowNanos);
        failures++;
    }

    /**
     * Decayed count of successful requests.
     *
     * @param nowNanos current monotonic time in nanoseconds, to which the count is decayed
     * @return the count, which is usually not a whole number
     */
    public double recentSuccesses(long nowNanos) {
        decay(nowNanos);
        return successes;
    }

    /**
     * Decayed count of failed requests.
     *
     * @param nowNanos current monotonic time in nanoseconds, to which the count is decayed
     * @return the count, which is usually not a whole number
     */
    public double recentFailures(long nowNanos) {
        decay(nowNanos);
        return failures;
    }

    /**
     * Returns the rate at which outcomes were recorded lately.
     *
     * @param decayed decayed count of outcomes, of one or several processes
     * @return outcomes per second, if the rate was constant
     */
    public static double perSecond(double decayed) {
        return decayed * Math.log(2) / (HALF_LIFE_NANOS / 1e9);
    }

    private void decay(long nowNanos) {
        if (nowNanos == lastNanos || successes == 0 && failures == 0) {
            lastNanos = nowNanos;
            return;
        }
        double factor = Math.pow(0.5, Math.max(0, nowNanos - lastNanos) / HALF_LIFE_NANOS);
        lastNanos = nowNanos;
        successes *= factor;
        failures *= factor;
    }
}
