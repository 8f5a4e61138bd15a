package org.dotterelcourse.policy.budget;

/** A token bucket whose level may fall below zero: a debt is paid by time before anything is taken again. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private double burst;
    private double level;
    private long filledNanos;

    TokenBucket(double perSecond, double burst, long nowNanos) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.level = burst;
        this.filledNanos = nowNanos;
    }

    void terms(double newPerSecond, double newBurst, long nowNanos) {
        fill(nowNanos);
        perSecond = newPerSecond;
        burst = newBurst;
        level = Math.min(level, burst);
    }

    /** Nanoseconds until the amount can be taken; 0 if it can be now, {@link Long#MAX_VALUE} if it never can. */
    long waitNanos(double amount, long nowNanos) {
        fill(nowNanos);
        if (level >= amount) {
            return 0;
        }
        if (amount > burst || perSecond <= 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((amount - level) / perSecond * NANOS_PER_SECOND);
    }

    void take(double amount) {
        level -= amount;
    }

    void giveBack(double amount) {
        level = Math.min(burst, level + amount);
    }

    void fill(long nowNanos) {
        if (nowNanos > filledNanos) {
            level = Math.min(burst, level + (nowNanos - filledNanos) / NANOS_PER_SECOND * perSecond);
            filledNanos = nowNanos;
        }
    }
}
