package org.dotterelcourse.policy.performance;

/**
 * Bounds the sums that peers report. One process can move the estimate of a worker only by a limited amount: its means are
 * bounded relative to the upstream's, and its weights are capped.
 *
 * <p>It handles a process with a faulty clock or a corrupt state, whose values would otherwise make a worker appear so slow
 * or so fast that all other processes stop using it or overload it.
 *
 * @param stepMillis the upstream's mean step in milliseconds; 0 if unknown
 * @param responseRatio the upstream's mean ratio of measured to expected times; 0 if unknown
 * @param mixedStepMillis the upstream's mean step with a prompt in milliseconds; 0 if unknown
 */
public record TimingBounds(double stepMillis, double responseRatio, double mixedStepMillis) {
    /** Bounds of an upstream without an estimate. */
    public static final TimingBounds UNKNOWN = new TimingBounds(0, 0, 0);

    /**
     * Largest weight of one process in tokens, about two streams. In a fleet of 65 processes, one of them has at most a
     * seventh of the usual sum of a worker.
     */
    static final double MAX_TOKENS = 300;

    /** Largest weight of one process in milliseconds of expected time, about 30 plain requests. */
    static final double MAX_EXPECTED_MILLIS = 1_500;

    /** Largest factor between a reported mean and that of the upstream: twice the range in which workers differ. */
    private static final double MAX_FACTOR = 4;

    /**
     * Factor above which a mean is implausible rather than unusual. A stream that runs while its engine always reads prompts
     * has steps that take up to ten times as long as the mean.
     */
    private static final double IMPLAUSIBLE_FACTOR = 32;

    private static final double MIN_PLAUSIBLE_STEP_MILLIS = 0.1;
    private static final double MAX_PLAUSIBLE_STEP_MILLIS = 2_000;
    private static final double MAX_PLAUSIBLE_RATIO = 100;

    /**
     * Result of checking a reported row.
     *
     * @param sums the bounded sums
     * @param plausible whether the reported means are possible at all; unusual ones are bounded, but plausible
     */
    public record Checked(TimingSums sums, boolean plausible) {}

    /**
     * Checks the sums of one worker in a report.
     *
     * @param reported the reported sums
     * @param processes number of processes whose sums the report covers at most
     * @return the bounded sums, and whether the reported ones are plausible
     */
    public Checked check(TimingSums reported, int processes) {
        double step =
                bounded(reported.meanStepMillis(), stepMillis, MIN_PLAUSIBLE_STEP_MILLIS, MAX_PLAUSIBLE_STEP_MILLIS);
        double ratio = bounded(reported.responseRatio(), responseRatio, 1 / MAX_PLAUSIBLE_RATIO, MAX_PLAUSIBLE_RATIO);
        double mixed = bounded(
                reported.meanMixedStepMillis(), mixedStepMillis, MIN_PLAUSIBLE_STEP_MILLIS, MAX_PLAUSIBLE_STEP_MILLIS);
        boolean plausible = isPlausible(step, reported.meanStepMillis())
                && isPlausible(ratio, reported.responseRatio())
                && isPlausible(mixed, reported.meanMixedStepMillis());
        double stepTokens = capped(reported.stepTokens(), MAX_TOKENS * processes, step);
        double mixedTokens = capped(reported.mixedStepTokens(), MAX_TOKENS * processes, mixed);
        double expected = capped(reported.expectedMillis(), MAX_EXPECTED_MILLIS * processes, ratio);
        return new Checked(
                new TimingSums(
                        step * stepTokens, stepTokens, mixed * mixedTokens, mixedTokens, ratio * expected, expected),
                plausible);
    }

    /** Returns a mean within the bounds, or 0 if there is none. */
    private static double bounded(double mean, double reference, double min, double max) {
        if (!(mean > 0)) {
            return 0;
        }
        double low = reference > 0 ? reference / MAX_FACTOR : min;
        double high = reference > 0 ? reference * MAX_FACTOR : max;
        return Math.min(high, Math.max(low, mean));
    }

    private static double capped(double weight, double max, double mean) {
        return mean == 0 ? 0 : Math.min(max, weight);
    }

    /** Returns whether a mean differs from its bounded value by less than what was measured can. */
    private static boolean isPlausible(double bounded, double mean) {
        double factor = IMPLAUSIBLE_FACTOR / MAX_FACTOR;
        return mean <= factor * bounded && bounded <= factor * mean;
    }
}
