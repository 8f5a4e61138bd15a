package org.dotterelcourse.standins;

/** A token bucket. Safe for use by several threads. */
final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private final double most;
    private double left;
    private long filledNanos;
    private boolean used;

    RateLimit(double perSecond, double most) {
        this.perSecond = perSecond;
        this.most = most;
        this.left = most;
    }

    synchronized boolean take(long nowNanos) {
        if (used) {
            left = Math.min(most, left + (nowNanos - filledNanos) * perSecond / NANOS_PER_SECOND);
        }
        used = true;
        filledNanos = nowNanos;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
