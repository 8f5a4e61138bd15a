package org.dotterelcourse.policy.admission;

/**
 * The time from sending to the first token: a moving mean and mean deviation, as TCP keeps them for its retransmission
 * timeout (RFC 6298). Served at the last moment for the mean, every second request would be late; two deviations more
 * leave few.
 */
final class FirstTokenTime {
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final double DEVIATIONS = 2;

    private double meanNanos;
    private double deviationNanos;
    private boolean isKnown;

    void add(long nanos) {
        if (!isKnown) {
            meanNanos = nanos;
            deviationNanos = nanos / 2.0;
            isKnown = true;
            return;
        }
        deviationNanos += DEVIATION_WEIGHT * (Math.abs(nanos - meanNanos) - deviationNanos);
        meanNanos += MEAN_WEIGHT * (nanos - meanNanos);
    }

    /** The time within which most first tokens come, in nanoseconds. */
    double usuallyWithin() {
        return meanNanos + DEVIATIONS * deviationNanos;
    }
}
