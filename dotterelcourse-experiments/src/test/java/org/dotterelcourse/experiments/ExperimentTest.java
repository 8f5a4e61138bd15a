package org.dotterelcourse.experiments;

import org.dotterelcourse.policy.retry.FractionRetryBudget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ExperimentTest {
    private static final int TOP = 0;

    @ParameterizedTest
    @EnumSource(Pattern.class)
    void everyCallEndsUnderEveryPattern(Pattern pattern) {
        // Whatever goes wrong, each caller is told something in the end. A request that the scheduler forgot would hang
        // until the caller gives up.
        Trial trial = new Trial(
                Contender.WHOLE.maker().apply(1), new FractionRetryBudget(0.1, 10), Workload.WORKERS, Workload.SECOND);
        pattern.prepare(trial, new Workload(trial, 1));
        trial.run(Pattern.SECONDS * Workload.SECOND);

        assertThat(trial.calls).isNotEmpty().noneMatch(call -> call.state == Call.State.OPEN);
    }

    @Test
    void aBurstOfALowTierCostsTheTopTierLessThanAPoint() {
        // Month-end summaries come at twice what the cell can do. Tellers at the counter shouldn't notice.
        double calm = Experiment.once(Pattern.CALM, Contender.WHOLE, 1).attainment()[TOP];
        double burst = Experiment.once(Pattern.LOW_BURST, Contender.WHOLE, 1).attainment()[TOP];

        assertThat(burst).isGreaterThan(calm - 0.01);
    }

    @Test
    void theLowestClassKeepsItsShareInARushOfTheHighest() {
        // The morning rush at the branch windows fills the cell. Summaries get their tenth all the same.
        double share = Experiment.once(Pattern.TELLER_RUSH, Contender.WHOLE, 1).lowestShare();

        assertThat(share).isGreaterThan(0.1);
    }

    @Test
    void aCrashWastesLessThanTheWorkerHeld() {
        // A worker dies in the middle of its answers. What callers have is resumed elsewhere and not computed again.
        Outcome outcome = Experiment.once(Pattern.CRASH, Contender.WHOLE, 1);

        assertThat(outcome.held()).isPositive();
        assertThat(outcome.wasted()).isLessThan(outcome.held());
    }

    @Test
    void sustainedOverloadLeavesTheTopTierWhole() {
        // Everybody wants twice what there is, for as long as it lasts.
        double top = Experiment.once(Pattern.OVERLOAD, Contender.WHOLE, 1).attainment()[TOP];

        assertThat(top).isGreaterThan(0.97);
    }
}
