package org.dotterelcourse.policy.performance;

import java.util.Arrays;
import java.util.Optional;

/**
 * Derives the step times of an engine from the gaps between the events of one stream there. A low quantile of the gaps of a
 * window is the time of steps without a prompt, a high one that of steps with a prompt.
 *
 * <p>It handles engines that read prompts of many processes: when exactly an engine reads is not known to the process that
 * observes the stream, since peers' reports arrive after the prompt has been read. Within a window of a stream, however, the
 * shortest gaps contain no reading unless the engine reads most of the time. Single short gaps occur after a pause of the
 * observing process, so that the minimum itself is not used.
 */
public final class StreamGaps {
    /** Gaps of a full window: at the usual event rates it ends within one to two seconds. */
    private static final int WINDOW = 16;

    /** Gaps of the shortest window that is evaluated at the end of a stream. */
    private static final int MIN_GAPS = 6;

    private static final double STEP_QUANTILE = 0.25;
    private static final double MIXED_QUANTILE = 0.9;

    /**
     * Ratio of the high to the low quantile above which a prompt was read in the window. Without prompts, gaps of one
     * stream differ by less, as the number of concurrent streams changes a step by a few percent each.
     */
    private static final double MIN_MIXED_RATIO = 2;

    private final double[] gaps = new double[WINDOW];
    private int count;

    /**
     * Steps of one window.
     *
     * @param stepMillis time of a step without a prompt in milliseconds
     * @param mixedStepMillis time of a step with a prompt in milliseconds; 0 if the window has none
     * @param tokens number of tokens in the events of the window
     */
    public record StepSample(double stepMillis, double mixedStepMillis, int tokens) {}

    /**
     * Records the gap between two consecutive events.
     *
     * @param gapMillis time between the events in milliseconds
     * @param tokensPerEvent number of tokens of an event
     * @return the steps of the window that this gap completes; empty if it does not
     */
    public Optional<StepSample> recordGap(double gapMillis, int tokensPerEvent) {
        gaps[count++] = gapMillis;
        return count < WINDOW ? Optional.empty() : takeSample(tokensPerEvent);
    }

    /**
     * Ends the stream.
     *
     * @param tokensPerEvent number of tokens of an event
     * @return the steps of the last window; empty if it has too few gaps
     */
    public Optional<StepSample> end(int tokensPerEvent) {
        return count < MIN_GAPS ? Optional.empty() : takeSample(tokensPerEvent);
    }

    private Optional<StepSample> takeSample(int tokensPerEvent) {
        int tokens = Math.max(1, tokensPerEvent);
        Arrays.sort(gaps, 0, count);
        double low = gaps[(int) (STEP_QUANTILE * count)];
        double high = gaps[(int) (MIXED_QUANTILE * count)];
        int sampleTokens = count * tokens;
        count = 0;
        if (low <= 0) {
            return Optional.empty();
        }
        double mixed = high >= MIN_MIXED_RATIO * low ? high / tokens : 0;
        return Optional.of(new StepSample(low / tokens, mixed, sampleTokens));
    }
}
