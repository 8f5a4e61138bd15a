package org.dotterelcourse.coordination.configuration;

/**
 * A token bucket over this process's reads of the service. The quota is shared by all readers: one process that reads
 * in a loop would use up what the others need, and nobody would see a change in time.
 */
final class ReadBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double perNano;
    private final double burst;
    private double tokens;
    private long lastNanos;

    ReadBudget(double readsPerSecond, double burst, long nowNanos) {
        this.perNano = readsPerSecond / NANOS_PER_SECOND;
        this.burst = burst;
        this.tokens = burst;
        this.lastNanos = nowNanos;
    }

    boolean take(long nowNanos) {
        tokens = Math.min(burst, tokens + (nowNanos - lastNanos) * perNano);
        lastNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
