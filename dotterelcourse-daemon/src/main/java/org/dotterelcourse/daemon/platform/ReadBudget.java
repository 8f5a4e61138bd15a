package org.dotterelcourse.daemon.platform;

import java.util.function.LongSupplier;

/**
 * Bounds this process's share of the configuration service's read quota by a token bucket.
 *
 * <p>The load it answers: when the service comes back after an outage, every daemon asks at once. Without a bound the
 * quota is spent within a fraction of a second, and readers that retry keep it spent.
 */
final class ReadBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double readsPerSecond;
    private final double burst;
    private final LongSupplier clock;
    private double tokens;
    private long lastNanos;

    /**
     * @param readsPerSecond how many reads a second are allowed in the long run
     * @param clock nanoseconds, monotonic
     */
    ReadBudget(double readsPerSecond, LongSupplier clock) {
        this.readsPerSecond = readsPerSecond;
        // A start reads the newest whole document and the patches since: one second's worth, but never under four.
        this.burst = Math.max(4, readsPerSecond);
        this.clock = clock;
        this.tokens = burst;
        this.lastNanos = clock.getAsLong();
    }

    synchronized boolean take() {
        long now = clock.getAsLong();
        tokens = Math.min(burst, tokens + (now - lastNanos) / NANOS_PER_SECOND * readsPerSecond);
        lastNanos = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
