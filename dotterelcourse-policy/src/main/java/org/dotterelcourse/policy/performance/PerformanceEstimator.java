package org.dotterelcourse.policy.performance;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Estimates the speed of the workers of one upstream from the sums of all processes. Engines are compared by the time of a
 * step without a prompt, other workers by the time of their responses relative to the expected one.
 *
 * <p>It handles workers of one upstream that differ in speed by a factor of up to 2.4, which all processes would otherwise
 * load equally, so that requests queue at the slow ones. It has no effect where workers are equally fast: differences within
 * the accuracy of the measurements count as none.
 */
public final class PerformanceEstimator {
    /** Lowest estimate; workers are known to differ by a factor of up to 2.4. */
    static final double MIN_SLOWNESS = 0.25;

    /** Highest estimate. */
    static final double MAX_SLOWNESS = 4;

    /** Relative deviation from the upstream's mean up to which a worker counts as equally fast. */
    static final double DEAD_BAND = 0.15;

    /**
     * Weight in tokens below which an engine is not estimated, and of the assumption that it has the mean speed: four to
     * six windows of a stream, since single windows of equal engines differ by some ten percent.
     */
    static final double MIN_TOKENS = 300;

    /** The same for other workers, in milliseconds of expected time: some forty plain requests. */
    static final double MIN_EXPECTED_MILLIS = 2_000;

    /**
     * Estimates of one upstream.
     *
     * @param workers estimates by incarnation; workers without an entry have too few measurements
     * @param bounds bounds of the sums in reports of peers
     * @param mixedStepMillis mean time of a step with a prompt in milliseconds, over all workers; 0 if unknown
     */
    public record Estimate(Map<Integer, WorkerPerformance> workers, TimingBounds bounds, double mixedStepMillis) {
        /** Estimate of an upstream without measurements. */
        public static final Estimate NONE = new Estimate(Map.of(), TimingBounds.UNKNOWN, 0);
    }

    /**
     * Estimates the workers of an upstream.
     *
     * @param sums sums of all processes by incarnation of the worker, only of published workers of this upstream
     * @return the estimates
     */
    public Estimate estimate(Map<Integer, TimingSums> sums) {
        double tokens =
                sums.values().stream().mapToDouble(TimingSums::stepTokens).sum();
        Signal signal = tokens > 0 ? Signal.STEPS : Signal.RESPONSES;
        double mean = mean(sums, signal);
        Map<Integer, WorkerPerformance> workers = new HashMap<>();
        sums.forEach((worker, each) -> {
            if (signal.weight.applyAsDouble(each) >= signal.minWeight) {
                workers.put(
                        worker,
                        new WorkerPerformance(
                                slowness(each, signal, mean), each.meanStepMillis(), mixedStepMillis(each)));
            }
        });
        double mixed = mixedStepMillis(sums.values().stream().reduce(TimingSums.NONE, TimingSums::plus));
        return new Estimate(
                workers, new TimingBounds(mean(sums, Signal.STEPS), mean(sums, Signal.RESPONSES), mixed), mixed);
    }

    /** What workers are compared by. */
    private enum Signal {
        STEPS(TimingSums::meanStepMillis, TimingSums::stepTokens, MIN_TOKENS),
        RESPONSES(TimingSums::responseRatio, TimingSums::expectedMillis, MIN_EXPECTED_MILLIS);

        private final ToDoubleFunction<TimingSums> value;
        private final ToDoubleFunction<TimingSums> weight;
        private final double minWeight;

        Signal(ToDoubleFunction<TimingSums> value, ToDoubleFunction<TimingSums> weight, double minWeight) {
            this.value = value;
            this.weight = weight;
            this.minWeight = minWeight;
        }
    }

    /** Mean of the workers with enough measurements, each bounded relative to their median; 0 if there are none. */
    private static double mean(Map<Integer, TimingSums> sums, Signal signal) {
        double[] values = sums.values().stream()
                .filter(each -> signal.weight.applyAsDouble(each) >= signal.minWeight)
                .mapToDouble(signal.value)
                .sorted()
                .toArray();
        if (values.length == 0) {
            return 0;
        }
        double median = values[values.length / 2];
        return Arrays.stream(values)
                .map(each -> Math.min(MAX_SLOWNESS * median, Math.max(MIN_SLOWNESS * median, each)))
                .average()
                .orElse(0);
    }

    private static double slowness(TimingSums sums, Signal signal, double mean) {
        double measured = signal.value.applyAsDouble(sums) / mean;
        double weight = signal.weight.applyAsDouble(sums);
        double slowness = Math.pow(measured, weight / (weight + signal.minWeight));
        boolean isEqual = !(Math.abs(slowness - 1) > DEAD_BAND);
        return isEqual ? 1 : Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
    }

    private static double mixedStepMillis(TimingSums sums) {
        return sums.mixedStepTokens() < MIN_TOKENS ? 0 : sums.meanMixedStepMillis();
    }
}
