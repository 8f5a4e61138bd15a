package org.dotterelcourse.policy.performance;

/**
 * Decaying sums of the durations measured at one worker. Sums of several processes can be added up.
 *
 * @param stepMillis time of steps in which the worker read no prompt, in milliseconds, scaled to an engine without other
 *     streams
 * @param stepTokens number of these steps; an engine makes one token of a stream per step
 * @param mixedStepMillis time of steps in which the worker also read a prompt, in milliseconds
 * @param mixedStepTokens number of these steps
 * @param measuredMillis time to the first event of streams or to the response of plain requests, in milliseconds
 * @param expectedMillis time that was expected of a nominal worker for the same requests, in milliseconds
 */
public record TimingSums(
        double stepMillis,
        double stepTokens,
        double mixedStepMillis,
        double mixedStepTokens,
        double measuredMillis,
        double expectedMillis) {
    /** No measurements. */
    public static final TimingSums NONE = new TimingSums(0, 0, 0, 0, 0, 0);

    /**
     * Adds the sums of another process or period.
     *
     * @param other the sums to add
     * @return the sum of both
     */
    public TimingSums plus(TimingSums other) {
        return new TimingSums(
                stepMillis + other.stepMillis,
                stepTokens + other.stepTokens,
                mixedStepMillis + other.mixedStepMillis,
                mixedStepTokens + other.mixedStepTokens,
                measuredMillis + other.measuredMillis,
                expectedMillis + other.expectedMillis);
    }

    /**
     * Subtracts sums that are contained in these.
     *
     * @param part the sums to subtract
     * @return the remainder, without negative values
     */
    public TimingSums minus(TimingSums part) {
        return new TimingSums(
                Math.max(0, stepMillis - part.stepMillis),
                Math.max(0, stepTokens - part.stepTokens),
                Math.max(0, mixedStepMillis - part.mixedStepMillis),
                Math.max(0, mixedStepTokens - part.mixedStepTokens),
                Math.max(0, measuredMillis - part.measuredMillis),
                Math.max(0, expectedMillis - part.expectedMillis));
    }

    /**
     * Multiplies all sums, which keeps the means.
     *
     * @param factor factor from 0 to 1
     * @return the scaled sums
     */
    public TimingSums scaled(double factor) {
        return new TimingSums(
                stepMillis * factor,
                stepTokens * factor,
                mixedStepMillis * factor,
                mixedStepTokens * factor,
                measuredMillis * factor,
                expectedMillis * factor);
    }

    /**
     * Mean time of a step in which the worker read no prompt.
     *
     * @return milliseconds, 0 without measurements
     */
    public double meanStepMillis() {
        return mean(stepMillis, stepTokens);
    }

    /**
     * Mean time of a step in which the worker also read a prompt.
     *
     * @return milliseconds, 0 without measurements
     */
    public double meanMixedStepMillis() {
        return mean(mixedStepMillis, mixedStepTokens);
    }

    /**
     * Measured time relative to the expected one.
     *
     * @return the ratio, 0 without measurements
     */
    public double responseRatio() {
        return mean(measuredMillis, expectedMillis);
    }

    private static double mean(double sum, double count) {
        return count > 0 ? sum / count : 0;
    }
}
