package org.dotterelcourse.coordination.limit;

/**
 * A token bucket in integer arithmetic. The level is kept in billionths of a unit, so that accumulated rounding never
 * exceeds the rate.
 */
final class TokenBucket {
    static final long BILLIONTHS_PER_UNIT = 1_000_000_000L;

    private final long burst;
    private long level;
    private long lastRefillNanos;

    TokenBucket(long burstUnits, long levelUnits, long nowNanos) {
        burst = burstUnits * BILLIONTHS_PER_UNIT;
        level = levelUnits * BILLIONTHS_PER_UNIT;
        lastRefillNanos = nowNanos;
    }

    /** Adds the units accumulated since the last call. The rate may change between calls. */
    void refill(double unitsPerSecond, long nowNanos) {
        long elapsed = nowNanos - lastRefillNanos;
        if (elapsed <= 0) {
            return;
        }
        lastRefillNanos = nowNanos;
        // The product is rounded by at most a billionth of a unit where it matters, because the level is capped at the
        // burst.
        double added = Math.floor(unitsPerSecond * elapsed);
        level = added >= burst - level ? burst : level + (long) added;
    }

    /** Whole units in the bucket, at least 0. */
    long available() {
        return Math.max(0, level / BILLIONTHS_PER_UNIT);
    }

    void take(long units) {
        level -= units * BILLIONTHS_PER_UNIT;
    }

    /** Returns unused units to the bucket, up to the burst. */
    void giveBack(long units) {
        level = Math.min(burst, level + units * BILLIONTHS_PER_UNIT);
    }

    /** Nanoseconds until the bucket holds {@code units} at the given rate; {@link Long#MAX_VALUE} if the rate is 0. */
    long nanosUntil(long units, double unitsPerSecond) {
        long missing = units * BILLIONTHS_PER_UNIT - level;
        if (missing <= 0) {
            return 0;
        }
        return unitsPerSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing / unitsPerSecond);
    }
}
