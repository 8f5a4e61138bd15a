package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load test without network: long drafts, summaries and short answers on 28 engines in virtual time, with the lengths,
 * targets and shares of a deployment whose short answers lose most of their value by gaps.
 */
class UnevenEnginesTest {
    private static final int ENGINES = 28;
    private static final double SECONDS = 20;
    private static final int SEEDS = 4;

    // Of the short answers, 0.55 were on time with equal costs on all engines and summaries beside them.
    @Test
    void interactiveStreamsAreOnTimeOnUnevenEnginesUnderHighLoad() {
        double[] before = onTime(false, false);
        double[] separated = onTime(false, true);
        double[] both = onTime(true, true);
        assertThat(separated[0]).isGreaterThan(before[0] + 0.2);
        assertThat(both[0]).isGreaterThan(separated[0] + 0.05);
        // Summaries and drafts must not pay for it.
        assertThat(both[1]).isGreaterThan(before[1]);
        assertThat(both[2]).isGreaterThan(before[2] - 0.01);
    }

    // Differences that the load causes, not the engines, would move prompts away from the engines that cache their
    // parts.
    @Test
    void equalEnginesAreUsedAsWithoutMeasurements() {
        for (double factor : new double[] {1, 1.5}) {
            EngineFleetSimulation without =
                    simulation(factor, equal(), new EngineFleetSimulation.Options(false, true, false), 7);
            EngineFleetSimulation with =
                    simulation(factor, equal(), new EngineFleetSimulation.Options(true, true, false), 7);
            assertThat(with.run(SECONDS, 1)).hasToString(without.run(SECONDS, 1).toString());
            assertThat(with.minEstimate()).isEqualTo(1);
            assertThat(with.maxEstimate()).isEqualTo(1);
        }
    }

    @Test
    void estimatesApproachTheActualSpeeds() {
        EngineFleetSimulation simulation =
                simulation(2, uneven(5), new EngineFleetSimulation.Options(true, true, true), 7);
        simulation.run(SECONDS, 1);
        assertThat(simulation.maxEstimate()).isBetween(1.2, 1.7);
        assertThat(simulation.minEstimate()).isBetween(0.5, 0.85);
        assertThat(simulation.estimateError()).isLessThan(1.15);
    }

    /** Fractions of short answers, summaries and drafts on time at twice the usual load. */
    private static double[] onTime(boolean measured, boolean separated) {
        double[] sums = new double[3];
        for (int seed = 0; seed < SEEDS; seed++) {
            Map<String, EngineFleetSimulation.Result> results = simulation(
                            2, uneven(seed), new EngineFleetSimulation.Options(measured, separated, true), seed)
                    .run(SECONDS, 1);
            sums[0] += results.get("short").onTimeFraction() / SEEDS;
            sums[1] += results.get("summary").onTimeFraction() / SEEDS;
            sums[2] += results.get("draft").onTimeFraction() / SEEDS;
        }
        return sums;
    }

    private static EngineFleetSimulation simulation(
            double factor, double[] slowness, EngineFleetSimulation.Options options, long seed) {
        double scale = factor * ENGINES / 98;
        List<EngineFleetSimulation.Kind> kinds = List.of(
                new EngineFleetSimulation.Kind("draft", 13_300, 3_720, 20, 110 * scale, 2_027, 1_000),
                new EngineFleetSimulation.Kind("summary", 6_300, 2_890, 9, 72 * scale, 1_219, 400),
                new EngineFleetSimulation.Kind("short", 350, 1_110, 29, 144 * scale, 1_011, 250));
        return new EngineFleetSimulation(kinds, slowness, options, seed);
    }

    /** Durations relative to nominal engines, whose speeds lie between 0.7 and 1.7. */
    private static double[] uneven(long seed) {
        return new Random(seed).doubles(ENGINES, 1 / 1.7, 1 / 0.7).toArray();
    }

    private static double[] equal() {
        return new Random(0).doubles(ENGINES).map(each -> 1).toArray();
    }
}
