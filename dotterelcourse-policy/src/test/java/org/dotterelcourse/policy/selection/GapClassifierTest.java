package org.dotterelcourse.policy.selection;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GapClassifierTest {
    private static final long SECOND = 1_000_000_000L;
    private static final GapClassifier.Stream SHORT = new GapClassifier.Stream(250, 1_011, 6, 24);
    private static final GapClassifier.Stream SUMMARY = new GapClassifier.Stream(400, 1_219, 6, 170);
    private static final GapClassifier.Stream DRAFT = new GapClassifier.Stream(1_000, 2_027, 6, 340);

    private final GapClassifier classifier = new GapClassifier(true);

    // The prompts of both kinds would be read beside the streams with the shorter gap target, which would be late.
    @Test
    void streamsWithLongPromptsAreSeparatedFromStreamsWithShorterGapTargets() {
        classifier.classify(SHORT, SECOND);
        assertThat(classifier.classify(SUMMARY, SECOND)).isEqualTo(LatencyClass.START_SENSITIVE);
        assertThat(classifier.classify(SHORT, SECOND)).isEqualTo(LatencyClass.GAP_SENSITIVE);
        assertThat(classifier.classify(DRAFT, SECOND)).isEqualTo(LatencyClass.DELAY_TOLERANT);
    }

    // Streams with 62.5 ms per token earned 0.65 in place of 0.72 when they were not gap-sensitive.
    @Test
    void streamsWithTheShortestGapTargetRemainGapSensitive() {
        GapClassifier.Stream shortest = new GapClassifier.Stream(250, 500, 4, 300);
        for (int i = 0; i < 100; i++) {
            assertThat(classifier.classify(shortest, i * SECOND)).isEqualTo(LatencyClass.GAP_SENSITIVE);
            classifier.classify(new GapClassifier.Stream(300, 800, 4, 20), i * SECOND);
            classifier.updateMixedStep(30 + i % 40);
        }
    }

    @Test
    void aKindThatIsAloneIsClassifiedByItsTargets() {
        assertThat(classifier.classify(SUMMARY, SECOND)).isEqualTo(LatencyClass.GAP_SENSITIVE);
    }

    // A configured kind with hardly any traffic must not change the class of all others.
    @Test
    void rareStreamsSeparateNoOthers() {
        for (int i = 0; i < 100; i++) {
            classifier.classify(SUMMARY, SECOND);
        }
        classifier.classify(new GapClassifier.Stream(20, 100, 6, 5), SECOND);
        assertThat(classifier.classify(SUMMARY, SECOND)).isEqualTo(LatencyClass.GAP_SENSITIVE);
    }

    // Each change of the class moves the prompts of a kind to other engines, which have to read the shared parts again.
    @Test
    void theClassDoesNotFlapWhileTheMixOfStreamsVaries() {
        int changes = 0;
        LatencyClass last = LatencyClass.GAP_SENSITIVE;
        for (int i = 0; i < 3_000; i++) {
            boolean isBurst = i / 100 % 2 == 0;
            GapClassifier.Stream next = i % (isBurst ? 15 : 30) == 0 ? SHORT : SUMMARY;
            LatencyClass latencyClass = classifier.classify(next, SECOND + i * SECOND / 20);
            if (next == SUMMARY) {
                changes += latencyClass == last ? 0 : 1;
                last = latencyClass;
            }
        }
        assertThat(changes).isLessThanOrEqualTo(1);
    }

    // The measured mean of steps with a prompt varies by a third between quiet and busy seconds.
    @Test
    void theThresholdOnlyRisesForMuchLongerSteps() {
        for (double step : new double[] {20, 45, 73, 90, 30}) {
            classifier.updateMixedStep(step);
            assertThat(classifier.longStepMillis()).isEqualTo(73);
        }
        classifier.updateMixedStep(120);
        assertThat(classifier.longStepMillis()).isEqualTo(120);
        classifier.updateMixedStep(95);
        classifier.updateMixedStep(0);
        assertThat(classifier.longStepMillis()).isEqualTo(120);
        classifier.updateMixedStep(10_000);
        assertThat(classifier.longStepMillis()).isEqualTo(146);
        classifier.updateMixedStep(50);
        assertThat(classifier.longStepMillis()).isEqualTo(73);
    }

    @Test
    void theCostOfInteractiveStreamsFollowsTheExcessOfTheirGaps() {
        assertThat(classifier.gapCost()).isEqualTo(GapCost.NONE);
        classifier.classify(SHORT, SECOND);
        GapCost cost = classifier.gapCost();
        assertThat(cost).isEqualTo(new GapCost(438, 250));
        assertThat(cost.weight(1)).isEqualTo(1);
        assertThat(cost.weight(1.5)).isBetween(2.1, 2.2);
        assertThat(cost.weight(0.5)).isEqualTo(0.25);
        assertThat(cost.weight(4)).isEqualTo(4);
        assertThat(GapCost.NONE.weight(3)).isEqualTo(1);
    }

    // Guards against a removed route whose shorter target determines the cost of prompts until the process ends.
    @Test
    void theCostForgetsTargetsWithoutRecentStreams() {
        classifier.classify(new GapClassifier.Stream(100, 500, 6, 5), SECOND);
        classifier.classify(SHORT, 60 * SECOND);
        assertThat(classifier.gapCost().targetMillis()).isEqualTo(100);
        classifier.classify(SHORT, 300 * SECOND);
        assertThat(classifier.gapCost().targetMillis()).isEqualTo(250);
    }

    @Test
    void streamsAreClassifiedByTheirTargetsWhereTheSettingSaysSo() {
        GapClassifier plain = new GapClassifier(false);
        plain.classify(SHORT, SECOND);
        plain.updateMixedStep(140);
        assertThat(plain.classify(SUMMARY, SECOND)).isEqualTo(LatencyClass.GAP_SENSITIVE);
        assertThat(plain.longStepMillis()).isEqualTo(73);
        assertThat(plain.gapCost()).isEqualTo(GapCost.NONE);
    }

    @Test
    void theNumberOfGapTargetsIsBounded() {
        for (int i = 1; i < 1_000; i++) {
            classifier.classify(new GapClassifier.Stream(1 + i % 400, 500, 6, 1), i * SECOND);
        }
        assertThat(classifier.gapCost().targetMillis()).isGreaterThan(0);
    }
}
