package org.dotterelcourse.policy.performance;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class PerformanceEstimatorTest {
    private static final long SECOND = 1_000_000_000L;

    private final PerformanceEstimator estimator = new PerformanceEstimator();

    @Test
    void slownessFollowsTheMeasuredSteps() {
        Map<Integer, TimingSums> sums = new HashMap<>();
        for (int i = 0; i < 9; i++) {
            sums.put(i, steps(i == 0 ? 10 : 5, 3_000));
        }
        Map<Integer, WorkerPerformance> workers = estimator.estimate(sums).workers();
        assertThat(workers.get(0).slowness()).isBetween(1.6, 1.8);
        assertThat(workers.get(1).slowness()).isEqualTo(1);
        assertThat(workers.get(0).stepMillis()).isCloseTo(10, within(1e-9));
    }

    // Equal workers must be placed as without measurements, which differ by some percent.
    @Test
    void smallDifferencesCountAsNone() {
        Map<Integer, TimingSums> sums = Map.of(1, steps(5.6, 5_000), 2, steps(5, 5_000), 3, steps(4.4, 5_000));
        assertThat(estimator.estimate(sums).workers().values())
                .allSatisfy(each -> assertThat(each.slowness()).isEqualTo(1));
    }

    @Test
    void workersThatAllBecomeSlowRemainNominal() {
        Map<Integer, TimingSums> sums = Map.of(1, steps(50, 5_000), 2, steps(50, 5_000), 3, steps(50, 5_000));
        assertThat(estimator.estimate(sums).workers().values())
                .allSatisfy(each -> assertThat(each.slowness()).isEqualTo(1));
    }

    // A single window of a stream says little: engines of equal speed would be avoided by turns.
    @Test
    void workersWithFewMeasurementsAreNotEstimated() {
        Map<Integer, TimingSums> sums = Map.of(1, steps(20, 100), 2, steps(5, 5_000), 3, steps(5, 5_000));
        assertThat(estimator.estimate(sums).workers()).doesNotContainKey(1);
    }

    @Test
    void estimatesAreBounded() {
        Map<Integer, TimingSums> sums = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            sums.put(i, steps(i == 0 ? 5_000 : i == 1 ? 0.001 : 5, 500_000));
        }
        Map<Integer, WorkerPerformance> workers = estimator.estimate(sums).workers();
        assertThat(workers.get(0).slowness()).isEqualTo(PerformanceEstimator.MAX_SLOWNESS);
        assertThat(workers.get(1).slowness()).isEqualTo(PerformanceEstimator.MIN_SLOWNESS);
        assertThat(workers.get(2).slowness()).isEqualTo(1);
    }

    @Test
    void workersWithoutStreamsAreComparedByTheirResponses() {
        Map<Integer, TimingSums> sums = new HashMap<>();
        for (int i = 1; i <= 10; i++) {
            sums.put(i, responses(i == 4 ? 2.8 : 1.4));
        }
        Map<Integer, WorkerPerformance> workers = estimator.estimate(sums).workers();
        assertThat(workers.get(4).slowness()).isBetween(1.6, 1.8);
        assertThat(workers.get(4).stepMillis()).isZero();
        assertThat(workers.get(1).slowness()).isEqualTo(1);
    }

    // A collector that is lost reports nothing more: what it said must lose its influence without a further message.
    @Test
    void estimatesDecayToNominal() {
        TimingRecorder recorder = new TimingRecorder();
        recorder.recordSteps(new StreamGaps.StepSample(12, 0, 1_000), 1, SECOND);
        TimingSums later = recorder.sums(SECOND + 30 * SECOND);
        Map<Integer, TimingSums> sums = Map.of(1, later, 2, steps(5, 5_000), 3, steps(5, 5_000));
        assertThat(estimator.estimate(sums).workers()).doesNotContainKey(1);
    }

    @Test
    void oneReportMovesTheEstimateByALimitedAmount() {
        TimingBounds bounds = new TimingBounds(5, 0, 0);
        TimingBounds.Checked implausible = bounds.check(steps(90_000, 1e9), 1);
        assertThat(implausible.plausible()).isFalse();
        assertThat(implausible.sums().meanStepMillis()).isCloseTo(20, within(1e-9));
        Map<Integer, TimingSums> sums = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            sums.put(i, steps(5, 2_000));
        }
        sums.merge(0, implausible.sums(), TimingSums::plus);
        assertThat(estimator.estimate(sums).workers().get(0).slowness()).isLessThan(1.5);
    }

    // Guards against one router whose steps with prompts change the latency class of routes: other routers see few of
    // them, so that its capped weight is not small.
    @Test
    void oneReportMovesTheMeanOfMixedStepsByALimitedAmount() {
        TimingSums honest = new TimingSums(5 * 300, 300, 50 * 20, 20, 0, 0);
        Map<Integer, TimingSums> sums = new HashMap<>();
        for (int i = 0; i < 64; i++) {
            sums.put(i, honest);
        }
        PerformanceEstimator.Estimate before = estimator.estimate(sums);
        assertThat(before.mixedStepMillis()).isCloseTo(50, within(1e-9));
        TimingBounds.Checked implausible =
                before.bounds().check(new TimingSums(5 * 300, 300, 2_000 * 300, 300, 0, 0), 1);
        assertThat(implausible.plausible()).isFalse();
        sums.merge(0, implausible.sums(), TimingSums::plus);
        assertThat(estimator.estimate(sums).mixedStepMillis()).isLessThan(90);
    }

    // An honest router has such a mean if it used an engine only while that read prompts. Warnings of it would be
    // constant.
    @Test
    void unusualMeansAreBoundedButPlausible() {
        TimingBounds.Checked unusual = new TimingBounds(5, 1.4, 0).check(steps(50, 90), 1);
        assertThat(unusual.plausible()).isTrue();
        assertThat(unusual.sums().meanStepMillis()).isCloseTo(20, within(1e-9));
        assertThat(TimingBounds.UNKNOWN.check(steps(50, 90), 1).sums().meanStepMillis())
                .isCloseTo(50, within(1e-9));
    }

    @Test
    void valuesThatAreNoNumbersCountAsMissing() {
        TimingBounds.Checked checked =
                TimingBounds.UNKNOWN.check(new TimingSums(Double.NaN, 100, Double.POSITIVE_INFINITY, 5, 10, 0), 1);
        assertThat(checked.sums().stepTokens()).isZero();
        assertThat(checked.sums().mixedStepMillis()).isFinite();
        assertThat(checked.sums().expectedMillis()).isZero();
    }

    private static TimingSums steps(double stepMillis, double tokens) {
        return new TimingSums(stepMillis * tokens, tokens, 0, 0, 0, 0);
    }

    private static TimingSums responses(double ratio) {
        return new TimingSums(0, 0, 0, 0, ratio * 10_000, 10_000);
    }
}
