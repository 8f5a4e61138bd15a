package org.dotterelcourse.policy.placement;

import org.HdrHistogram.Histogram;

/** The recent times per token of one worker: this window and the one before. */
final class SpeedWindow {
    /** Long enough for a median at a few tokens a second, short enough that a recovered worker is believed soon. */
    private static final long WINDOW_NANOS = 5_000_000_000L;

    private static final long LONGEST_MICROS = 60_000_000L;
    private static final int DIGITS = 2;
    private static final double MEDIAN = 50;
    private static final int FEWEST_SAMPLES = 8;

    private Histogram current = new Histogram(LONGEST_MICROS, DIGITS);
    private Histogram previous = new Histogram(LONGEST_MICROS, DIGITS);
    private long startNanos;

    void add(double perTokenNanos, long nowNanos) {
        rotate(nowNanos);
        long micros = Math.max(1, (long) perTokenNanos / 1_000);
        current.recordValue(Math.min(LONGEST_MICROS, micros));
    }

    /** The median time per token in microseconds, or 0 if too few were seen. */
    double median(long nowNanos) {
        rotate(nowNanos);
        if (current.getTotalCount() >= FEWEST_SAMPLES) {
            return current.getValueAtPercentile(MEDIAN);
        }
        return previous.getTotalCount() >= FEWEST_SAMPLES ? previous.getValueAtPercentile(MEDIAN) : 0;
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
