package org.dotterelcourse.policy.cold;

/**
 * Until when one worker is taken for cold: by its own word, or because it may have started again unnoticed.
 *
 * <p>A worker's word of its start comes some tenths of a second after its first answer. In between it looks like any
 * other, only idle, and would get the requests of all processes at once. So what it did before is taken for a sign: a
 * worker that could not be reached, or that broke its requests, is probably a new process when it answers again; and
 * the workers of a data centre that was evacuated are cold when it is taken back.
 */
public final class ColdStartTracker {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private boolean told;
    private long toldUntilNanos;
    private boolean assumed;
    private long assumedNanos;

    /**
     * The worker has said how much longer it is cold.
     *
     * @param millis the time; 0 if it is not
     * @param nowNanos the time of its word
     */
    public void recordReport(long millis, long nowNanos) {
        told = millis > 0;
        toldUntilNanos = nowNanos + millis * NANOS_PER_MILLI;
    }

    /**
     * The worker may just have started.
     *
     * @param nowNanos the time
     */
    public void assumeRestarted(long nowNanos) {
        assumed = true;
        assumedNanos = nowNanos;
    }

    /**
     * Whether the worker is taken for cold.
     *
     * @param coldStart what the workers of its upstream bear
     * @param nowNanos the time
     * @return true until both its own time and that of the last sign are over
     */
    public boolean isCold(ColdStart coldStart, long nowNanos) {
        return coldStart.hasRateLimit()
                && (told && nowNanos - toldUntilNanos < 0
                        || assumed && nowNanos - assumedNanos < coldStart.millis() * NANOS_PER_MILLI);
    }
}
