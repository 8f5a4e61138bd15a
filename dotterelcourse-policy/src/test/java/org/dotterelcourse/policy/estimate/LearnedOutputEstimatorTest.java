package org.dotterelcourse.policy.estimate;

import org.assertj.core.data.Percentage;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LearnedOutputEstimatorTest {
    private static final ClassTerms TERMS = new ClassTerms("drafts", 3, 0, 10, false, 1, 1, 4_000);

    private final OutputEstimator estimator = new LearnedOutputEstimator();

    @Test
    void startsFromAQuarterOfTheMaximumAnswerLength() {
        assertThat(estimator.remaining(TERMS, "bank", 0)).isEqualTo(1_000);
    }

    @Test
    void estimatesCustomersOfAClassSeparately() {
        for (int i = 0; i < 300; i++) {
            estimator.observe(TERMS, "brief", 50);
            estimator.observe(TERMS, "wordy", 2_000);
        }

        assertThat(estimator.remaining(TERMS, "brief", 0)).isBetween(50.0, 100.0);
        assertThat(estimator.remaining(TERMS, "wordy", 0)).isBetween(1_900.0, 2_000.0);
        assertThat(estimator.remaining(TERMS, "unknown", 0)).isCloseTo(1_025, Percentage.withPercentage(5));
    }

    @Test
    void expectsALongAnswerOnceItExceedsTheShortOnes() {
        for (int i = 0; i < 300; i++) {
            estimator.observe(TERMS, "bank", i % 2 == 0 ? 50 : 2_000);
        }

        assertThat(estimator.remaining(TERMS, "bank", 100)).isCloseTo(1_900, Percentage.withPercentage(5));
        assertThat(estimator.remaining(TERMS, "bank", 1_000)).isCloseTo(1_000, Percentage.withPercentage(10));
    }

    @Test
    void forgetsLengthsThatNoLongerOccur() {
        for (int i = 0; i < 1_000; i++) {
            estimator.observe(TERMS, "bank", 2_000);
        }
        for (int i = 0; i < 2_000; i++) {
            estimator.observe(TERMS, "bank", 100);
        }

        assertThat(estimator.remaining(TERMS, "bank", 0)).isLessThan(200);
    }
}
