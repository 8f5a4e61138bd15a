package org.dotterelcourse.policy.admission;

/**
 * Estimates an upper bound of the time from sending a request to its first token: an EWMA of the mean plus a multiple
 * of the EWMA of the mean deviation, as in TCP's retransmission timeout (RFC 6298). With the mean alone, every second
 * request that starts at the latest possible time would be late; with two deviations added, few are.
 */
final class FirstTokenTime {
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;
    private static final double DEVIATION_FACTOR = 2;

    private double meanNanos;
    private double deviationNanos;
    private boolean hasSample;

    void add(long nanos) {
        if (!hasSample) {
            meanNanos = nanos;
            deviationNanos = nanos / 2.0;
            hasSample = true;
            return;
        }
        deviationNanos += DEVIATION_WEIGHT * (Math.abs(nanos - meanNanos) - deviationNanos);
        meanNanos += MEAN_WEIGHT * (nanos - meanNanos);
    }

    /** The time within which most first tokens arrive, in nanoseconds. */
    double upperBoundNanos() {
        return meanNanos + DEVIATION_FACTOR * deviationNanos;
    }
}
