package org.dotterelcourse.policy.selection;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class EngineModelTest {
    // Most events of a busy engine are late because the engine reads prompts in between. The estimate must be the time
    // of a step without a prompt, at which answers advance once the engine has less to read.
    @Test
    void theStepTimeIsLearnedFromTheFastestEvents() {
        EngineModel model = new EngineModel();
        for (int i = 0; i < 500; i++) {
            model.recordEventGap(i % 10 < 4 ? 25 : 200, 5);
        }
        assertThat(model.stepMillis()).isCloseTo(5, within(1.0));
    }

    @Test
    void anEventWithoutGapDoesNotChangeTheStepTime() {
        EngineModel model = new EngineModel();
        double before = model.stepMillis();
        model.recordEventGap(0, 5);
        assertThat(model.stepMillis()).isEqualTo(before);
    }

    @Test
    void theLeadTimeIsTheMeanTimeToTheFirstEventPlusOneDeviation() {
        EngineModel model = new EngineModel();
        assertThat(model.leadTimeMillis()).isZero();
        for (int i = 0; i < 300; i++) {
            model.recordFirstEvent(i % 2 == 0 ? 200 : 400);
        }
        assertThat(model.leadTimeMillis()).isCloseTo(400, within(40.0));
    }

    // A deployment with slower engines and proportionally longer client timeouts must get the same decisions.
    @Property(tries = 300, seed = "7")
    void scalingAllTimesKeepsTheNumberOfStreams(
            @ForAll @DoubleRange(min = 20, max = 800) double prefill,
            @ForAll @IntRange(min = 10, max = 500) int tokens,
            @ForAll @DoubleRange(min = 2, max = 20) double factor) {
        int streams = model(prefill, tokens, 5).maxStreamsWithin(7_500);
        int scaled = model(prefill * factor, tokens, 5 * factor).maxStreamsWithin(7_500 * factor);
        // The estimated step time fluctuates by a few percent.
        assertThat(scaled).isCloseTo(streams, within(1 + streams / 20));
    }

    @Property(tries = 300, seed = "7")
    void theLimitIsTheLargestNumberOfStreamsThatEndInTime(
            @ForAll @DoubleRange(min = 20, max = 800) double prefill,
            @ForAll @IntRange(min = 10, max = 500) int tokens) {
        EngineModel model = model(prefill, tokens, 5);
        double answer = tokens * model.stepMillis();
        int streams = model.maxStreamsWithin(7_500);
        if (streams > 1) {
            assertThat(residenceMillis(streams, prefill, answer)).isLessThanOrEqualTo(7_500.001);
        }
        assertThat(residenceMillis(streams + 1, prefill, answer)).isGreaterThan(7_500);
    }

    @Test
    void anAnswerThatTakesTheWholeTimeAllowsOnlyOneStream() {
        assertThat(model(100, 5_000, 5).maxStreamsWithin(7_500)).isEqualTo(1);
    }

    private static double residenceMillis(int streams, double prefill, double answer) {
        double b = prefill + streams * prefill + answer;
        return (b + Math.sqrt(b * b - 4 * streams * prefill * prefill)) / 2;
    }

    private static EngineModel model(double prefill, int tokens, double step) {
        EngineModel model = new EngineModel();
        model.recordDispatch(prefill, tokens);
        model.recordCompletion(tokens);
        for (int i = 0; i < 2_000; i++) {
            model.recordEventGap(step, 1);
        }
        return model;
    }
}
