package org.dotterelcourse.policy.distribution;

/**
 * Derives the load level that a process publishes from the lag of its event loop. Not thread-safe.
 *
 * <p>It handles a process that can no longer keep up with its clients: how late its timers are shows that earlier and at
 * less cost than its processor time, and on any kind of VM. Few levels with hysteresis keep the published value stable,
 * because each change is sent to the whole fleet.
 */
public final class LoadLevel {
    /** Lag from which on a process counts as busy: a twelfth of the shortest latency targets of plain requests. */
    private static final double BUSY_LAG_MILLIS = 30;

    /** Lag from which on a process counts as overloaded: a third of these targets. */
    private static final double OVERLOADED_LAG_MILLIS = 100;

    private static final int IDLE_PERMILLE = 0;
    private static final int BUSY_PERMILLE = 500;
    private static final int OVERLOADED_PERMILLE = 1_000;

    /** Weight of the newest sample in the average, which then covers about the last three seconds. */
    private static final double NEWEST_WEIGHT = 0.3;

    /** Time for which a higher level is kept: clients keep responses for up to three seconds. */
    private static final long MIN_HOLD_NANOS = 4_000_000_000L;

    private double averageMillis;
    private int permille;
    private long raisedNanos;

    /**
     * Records a sample, to be called about once a second.
     *
     * @param lagMillis current lag of the event loop in milliseconds
     * @param nowNanos current monotonic time in nanoseconds
     * @return the load to publish, in thousandths of the capacity
     */
    public int update(double lagMillis, long nowNanos) {
        averageMillis += NEWEST_WEIGHT * (Math.max(0, lagMillis) - averageMillis);
        int current = level();
        if (current >= permille) {
            raisedNanos = nowNanos;
            permille = current;
        } else if (nowNanos - raisedNanos >= MIN_HOLD_NANOS) {
            permille = current;
        }
        return permille;
    }

    /**
     * Returns the average lag.
     *
     * @return the exponentially weighted average of the samples in milliseconds
     */
    public double averageLagMillis() {
        return averageMillis;
    }

    private int level() {
        if (averageMillis >= OVERLOADED_LAG_MILLIS) {
            return OVERLOADED_PERMILLE;
        }
        return averageMillis >= BUSY_LAG_MILLIS ? BUSY_PERMILLE : IDLE_PERMILLE;
    }
}
