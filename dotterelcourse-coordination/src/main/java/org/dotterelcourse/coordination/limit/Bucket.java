package org.dotterelcourse.coordination.limit;

/**
 * A token bucket in whole numbers: its level is kept in billionths of a unit, so that no rounding adds up to more than
 * the rate.
 */
final class Bucket {
    static final long UNIT = 1_000_000_000L;

    private final long burst;
    private long level;
    private long filledNanos;

    Bucket(long burstUnits, long levelUnits, long nowNanos) {
        burst = burstUnits * UNIT;
        level = levelUnits * UNIT;
        filledNanos = nowNanos;
    }

    /** Adds what has come in since the last call; the rate may differ from call to call. */
    void fill(double unitsPerSecond, long nowNanos) {
        long elapsed = nowNanos - filledNanos;
        if (elapsed <= 0) {
            return;
        }
        filledNanos = nowNanos;
        // Floating point rounds by a billionth of a unit at most where it matters: levels stay below the burst.
        double added = Math.floor(unitsPerSecond * elapsed);
        level = added >= burst - level ? burst : level + (long) added;
    }

    long units() {
        return Math.max(0, level / UNIT);
    }

    void take(long units) {
        level -= units * UNIT;
    }

    /** Puts something back, never above the burst. */
    void put(long units) {
        level = Math.min(burst, level + units * UNIT);
    }

    /** How long until so many units are there, at a rate. */
    long nanosUntil(long units, double unitsPerSecond) {
        long missing = units * UNIT - level;
        if (missing <= 0) {
            return 0;
        }
        return unitsPerSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil(missing / unitsPerSecond);
    }
}
