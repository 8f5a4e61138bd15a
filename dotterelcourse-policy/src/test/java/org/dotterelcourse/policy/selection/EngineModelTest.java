package org.dotterelcourse.policy.selection;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class EngineModelTest {
    // Most events of a busy engine come late, because a prompt was read in between. The time of a step without one is
    // what an answer takes once the engine has less to read.
    @Test
    void theStepIsLearnedFromTheFasterEvents() {
        EngineModel model = new EngineModel();
        for (int i = 0; i < 500; i++) {
            model.recordEventGap(i % 10 < 4 ? 25 : 200, 5);
        }
        assertThat(model.stepMillis()).isCloseTo(5, within(1.0));
    }

    @Test
    void anEventAtTheSameMomentSaysNothingOfTheStep() {
        EngineModel model = new EngineModel();
        double before = model.stepMillis();
        model.recordEventGap(0, 5);
        assertThat(model.stepMillis()).isEqualTo(before);
    }

    @Test
    void theLeadFollowsTheTimeToTheFirstEvent() {
        EngineModel model = new EngineModel();
        assertThat(model.leadTimeMillis()).isZero();
        for (int i = 0; i < 300; i++) {
            model.recordFirstEvent(i % 2 == 0 ? 200 : 400);
        }
        assertThat(model.leadTimeMillis()).isCloseTo(400, within(40.0));
    }

    // A deployment of slower engines whose clients wait as much longer must get the same decisions.
    @Property(tries = 300, seed = "7")
    void allTimesTogetherScaledLeaveTheNumberOfStreamsAsItIs(
            @ForAll @DoubleRange(min = 20, max = 800) double read,
            @ForAll @IntRange(min = 10, max = 500) int tokens,
            @ForAll @DoubleRange(min = 2, max = 20) double factor) {
        int streams = model(read, tokens, 5).maxStreamsWithin(7_500);
        int scaled = model(read * factor, tokens, 5 * factor).maxStreamsWithin(7_500 * factor);
        // The learned step wavers by some hundredths of itself.
        assertThat(scaled).isCloseTo(streams, within(1 + streams / 20));
    }

    @Property(tries = 300, seed = "7")
    void thatManyStreamsEndInTimeByTheFormulaAndOneMoreDoesNot(
            @ForAll @DoubleRange(min = 20, max = 800) double read, @ForAll @IntRange(min = 10, max = 500) int tokens) {
        EngineModel model = model(read, tokens, 5);
        double answer = tokens * model.stepMillis();
        int streams = model.maxStreamsWithin(7_500);
        if (streams > 1) {
            assertThat(stay(streams, read, answer)).isLessThanOrEqualTo(7_500.001);
        }
        assertThat(stay(streams + 1, read, answer)).isGreaterThan(7_500);
    }

    @Test
    void anAnswerThatAloneTakesTheWholeTimeGetsAnEngineForItself() {
        assertThat(model(100, 5_000, 5).maxStreamsWithin(7_500)).isEqualTo(1);
    }

    private static double stay(int streams, double read, double answer) {
        double b = read + streams * read + answer;
        return (b + Math.sqrt(b * b - 4 * streams * read * read)) / 2;
    }

    private static EngineModel model(double read, int tokens, double step) {
        EngineModel model = new EngineModel();
        model.recordDispatch(read, tokens);
        model.recordCompletion(tokens);
        for (int i = 0; i < 2_000; i++) {
            model.recordEventGap(step, 1);
        }
        return model;
    }
}
