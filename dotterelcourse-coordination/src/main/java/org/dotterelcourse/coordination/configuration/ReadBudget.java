package org.dotterelcourse.coordination.configuration;

/**
 * Token bucket that limits this process's reads of the configuration service. All processes share the quota of the
 * service: without this limit, one process that reads in a loop would use up the quota, and no process would see a
 * change in time.
 */
final class ReadBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double tokensPerNano;
    private final double burst;
    private double tokens;
    private long lastRefillNanos;

    ReadBudget(double readsPerSecond, double burst, long nowNanos) {
        this.tokensPerNano = readsPerSecond / NANOS_PER_SECOND;
        this.burst = burst;
        this.tokens = burst;
        this.lastRefillNanos = nowNanos;
    }

    boolean tryTake(long nowNanos) {
        tokens = Math.min(burst, tokens + (nowNanos - lastRefillNanos) * tokensPerNano);
        lastRefillNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
