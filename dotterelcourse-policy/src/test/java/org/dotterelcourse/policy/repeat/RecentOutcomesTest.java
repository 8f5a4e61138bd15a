package org.dotterelcourse.policy.repeat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RecentOutcomesTest {
    private static final long SECOND = 1_000_000_000L;

    private final RecentOutcomes outcomes = new RecentOutcomes();

    @Test
    void countsDecayByHalfInThreeSeconds() {
        outcomes.recordSuccess(SECOND);
        outcomes.recordFailure(SECOND);
        outcomes.recordFailure(SECOND);
        assertThat(outcomes.recentFailures(4 * SECOND)).isCloseTo(1, within(0.001));
        assertThat(outcomes.recentSuccesses(7 * SECOND)).isCloseTo(0.25, within(0.001));
    }
}
