package org.dotterelcourse.policy.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * What workers of each upstream lately stated, for workers that have stated nothing yet. A crashed worker comes back under a
 * new name, and before its first answer only its upstream tells what it is like. Not thread-safe.
 */
public final class UpstreamStatements {
    /** Longer than a crashed worker needs to come back. */
    private static final long RETENTION_NANOS = 30_000_000_000L;

    /** Time within which the lowest of different statements applies. */
    private static final long LOWEST_NANOS = 5_000_000_000L;

    private final Map<String, Statement> byUpstream = new HashMap<>();

    private record Statement(double value, long valueNanos, long latestNanos) {}

    /**
     * Records the statement of a worker.
     *
     * @param upstream name of the upstream
     * @param value the stated value
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void record(String upstream, double value, long nowNanos) {
        Statement before = byUpstream.get(upstream);
        boolean isHigher = before != null && value > before.value() && nowNanos - before.valueNanos() < LOWEST_NANOS;
        byUpstream.put(
                upstream,
                isHigher
                        ? new Statement(before.value(), before.valueNanos(), nowNanos)
                        : new Statement(value, nowNanos, nowNanos));
    }

    /**
     * Removes the statement of an upstream.
     *
     * @param upstream name of the upstream
     */
    public void remove(String upstream) {
        byUpstream.remove(upstream);
    }

    /**
     * Returns what workers of an upstream lately stated.
     *
     * @param upstream name of the upstream
     * @param nowNanos current monotonic time in nanoseconds
     * @return the lowest of the recent values; empty if there was no statement lately
     */
    public OptionalDouble value(String upstream, long nowNanos) {
        Statement statement = byUpstream.get(upstream);
        return statement == null || nowNanos - statement.latestNanos() > RETENTION_NANOS
                ? OptionalDouble.empty()
                : OptionalDouble.of(statement.value());
    }
}
