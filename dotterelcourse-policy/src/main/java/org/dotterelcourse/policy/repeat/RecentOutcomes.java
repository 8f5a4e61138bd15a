package org.dotterelcourse.policy.repeat;

/**
 * How requests at one worker lately ended, as counts that fade by half in each half-life.
 *
 * <p>Counts of several processes can be added up, which the averages of {@link LocalSuspicion} can't. It answers a large
 * fleet, where each process sends a worker a request every ten seconds or so: alone, it would find a failing worker only
 * after half a minute.
 */
public final class RecentOutcomes {
    /**
     * Long enough that a worker which is left out stays so for some seconds, as long as crashed ones are away; short
     * enough that one which has recovered is used again within ten seconds.
     */
    private static final double HALF_LIFE_NANOS = 3e9;

    private double succeeded;
    private double failed;
    private long lastNanos;

    /**
     * A request has ended well.
     *
     * @param nowNanos the time
     */
    public void recordSuccess(long nowNanos) {
        fade(nowNanos);
        succeeded++;
    }

    /**
     * A request has failed.
     *
     * @param nowNanos the time
     */
    public void recordFailure(long nowNanos) {
        fade(nowNanos);
        failed++;
    }

    /**
     * Requests that lately ended well.
     *
     * @param nowNanos the time
     * @return their faded count
     */
    public double recentSuccesses(long nowNanos) {
        fade(nowNanos);
        return succeeded;
    }

    /**
     * Requests that lately failed.
     *
     * @param nowNanos the time
     * @return their faded count
     */
    public double recentFailures(long nowNanos) {
        fade(nowNanos);
        return failed;
    }

    private void fade(long nowNanos) {
        double factor = Math.pow(0.5, Math.max(0, nowNanos - lastNanos) / HALF_LIFE_NANOS);
        lastNanos = nowNanos;
        succeeded *= factor;
        failed *= factor;
    }
}
