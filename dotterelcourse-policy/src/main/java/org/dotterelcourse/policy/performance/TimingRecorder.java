package org.dotterelcourse.policy.performance;

/**
 * Sums up the durations that this process measures at one worker, with exponential decay.
 *
 * <p>It handles fleets in which each process uses a worker only about every 30 s: the sums of all processes are added up,
 * and only their total is enough for an estimate ({@link PerformanceEstimator}).
 */
public final class TimingRecorder {
    /**
     * Half-life of the sums. An engine with three streams per second has some twenty measured streams within it, and a
     * worker that has changed its speed is known after a few seconds. Slowdowns of half a second are too short to be
     * avoided and only slightly raise the mean.
     */
    static final double HALF_LIFE_NANOS = 4e9;

    private TimingSums sums = TimingSums.NONE;
    private long updatedNanos;

    /**
     * Records the steps of a window of a stream.
     *
     * @param sample steps of the window
     * @param stepScale factor that scales a step without a prompt to an engine without other streams
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordSteps(StreamGaps.StepSample sample, double stepScale, long nowNanos) {
        add(
                new TimingSums(
                        sample.stepMillis() * stepScale * sample.tokens(),
                        sample.tokens(),
                        sample.mixedStepMillis() * sample.tokens(),
                        sample.mixedStepMillis() == 0 ? 0 : sample.tokens(),
                        0,
                        0),
                nowNanos);
    }

    /**
     * Records the time to the first event of a stream or to the response of a plain request.
     *
     * @param measuredMillis measured time in milliseconds
     * @param expectedMillis time expected of a nominal worker in milliseconds
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordResponse(double measuredMillis, double expectedMillis, long nowNanos) {
        add(new TimingSums(0, 0, 0, 0, measuredMillis, expectedMillis), nowNanos);
    }

    /**
     * Returns the decayed sums.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the sums; {@link TimingSums#NONE} before the first measurement
     */
    public TimingSums sums(long nowNanos) {
        return sums.equals(TimingSums.NONE) ? sums : sums.scaled(decay(nowNanos - updatedNanos));
    }

    /**
     * Factor by which sums have decayed after some time.
     *
     * @param nanos elapsed time in nanoseconds
     * @return a factor from 0 to 1
     */
    public static double decay(long nanos) {
        return Math.pow(0.5, Math.max(0, nanos) / HALF_LIFE_NANOS);
    }

    private void add(TimingSums added, long nowNanos) {
        sums = sums(nowNanos).plus(added);
        updatedNanos = nowNanos;
    }
}
