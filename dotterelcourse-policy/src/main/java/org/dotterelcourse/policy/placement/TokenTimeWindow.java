package org.dotterelcourse.policy.placement;

import org.HdrHistogram.Histogram;

/** Histograms of one worker's time per output token, for the current and the previous time window. */
final class TokenTimeWindow {
    /** Long enough for a median at a few tokens a second, short enough to notice soon that a worker has recovered. */
    private static final long WINDOW_NANOS = 5_000_000_000L;

    private static final long MAX_MICROS = 60_000_000L;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final int MIN_SAMPLES = 8;

    private Histogram current = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private Histogram previous = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private long startNanos;

    void add(double perTokenNanos, long nowNanos) {
        rotate(nowNanos);
        long micros = Math.max(1, (long) perTokenNanos / 1_000);
        current.recordValue(Math.min(MAX_MICROS, micros));
    }

    /** Returns the median time per token in microseconds, or 0 if there are too few samples. */
    double medianMicros(long nowNanos) {
        rotate(nowNanos);
        if (current.getTotalCount() >= MIN_SAMPLES) {
            return current.getValueAtPercentile(MEDIAN_PERCENTILE);
        }
        return previous.getTotalCount() >= MIN_SAMPLES ? previous.getValueAtPercentile(MEDIAN_PERCENTILE) : 0;
    }

    void clear() {
        current.reset();
        previous.reset();
    }

    private void rotate(long nowNanos) {
        if (nowNanos - startNanos < WINDOW_NANOS) {
            return;
        }
        Histogram oldest = previous;
        previous = current;
        current = oldest;
        current.reset();
        if (nowNanos - startNanos >= 2 * WINDOW_NANOS) {
            previous.reset();
        }
        startNanos = nowNanos;
    }
}
