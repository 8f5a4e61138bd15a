package org.dotterelcourse.policy.performance;

import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class StreamGapsTest {
    private static final int TOKENS_PER_EVENT = 6;

    // Gaps in which the engine reads prompts must not make it appear slow, even if most gaps are of that kind.
    @Test
    void stepsWithoutAPromptAreMeasuredAmongStepsWithOne() {
        StreamGaps gaps = new StreamGaps();
        Optional<StreamGaps.StepSample> sample = Optional.empty();
        for (int i = 0; i < 16; i++) {
            sample = gaps.recordGap(i % 5 < 2 ? 30 + i % 3 * 0.1 : 270, TOKENS_PER_EVENT);
        }
        assertThat(sample).hasValueSatisfying(each -> {
            assertThat(each.stepMillis()).isCloseTo(5, within(0.1));
            assertThat(each.mixedStepMillis()).isCloseTo(45, within(0.1));
            assertThat(each.tokens()).isEqualTo(96);
        });
    }

    @Test
    void aStreamWithoutPromptsBesideItHasNoMixedSteps() {
        StreamGaps gaps = new StreamGaps();
        Random random = new Random(1);
        for (int i = 0; i < 8; i++) {
            assertThat(gaps.recordGap(30 + 5 * random.nextDouble(), TOKENS_PER_EVENT))
                    .isEmpty();
        }
        assertThat(gaps.end(TOKENS_PER_EVENT))
                .hasValueSatisfying(each -> assertThat(each.mixedStepMillis()).isZero());
        assertThat(gaps.end(TOKENS_PER_EVENT)).isEmpty();
    }

    // A process that was paused reads two events at once: a gap of zero is no step time.
    @Test
    void singleShortGapsAfterAPauseAreIgnored() {
        StreamGaps gaps = new StreamGaps();
        double[] observed = {30, 31, 60, 0, 30, 32, 30, 31};
        for (double gap : observed) {
            gaps.recordGap(gap, TOKENS_PER_EVENT);
        }
        assertThat(gaps.end(TOKENS_PER_EVENT))
                .hasValueSatisfying(each -> assertThat(each.stepMillis()).isCloseTo(5, within(0.2)));
    }
}
