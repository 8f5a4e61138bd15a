package org.dotterelcourse.policy.repeat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RecentOutcomesTest {
    private static final long SECOND = 1_000_000_000L;

    private final RecentOutcomes outcomes = new RecentOutcomes();

    @Test
    void countsFadeByHalfInThreeSeconds() {
        outcomes.succeeded(SECOND);
        outcomes.failed(SECOND);
        outcomes.failed(SECOND);
        assertThat(outcomes.failedLately(4 * SECOND)).isCloseTo(1, within(0.001));
        assertThat(outcomes.succeededLately(7 * SECOND)).isCloseTo(0.25, within(0.001));
    }

    // A service answers one in seven requests with a failure while nothing is wrong. Its workers must stay in use.
    @Test
    void usualFailuresAreNotSuspicious() {
        assertThat(RecentOutcomes.suspicious(30, 5)).isFalse();
        assertThat(RecentOutcomes.suspicious(0, 2)).isFalse();
    }

    // A worker has crashed: requests of several processes fail there within a second.
    @Test
    void aWorkerThatFailsMostRequestsIsSuspicious() {
        assertThat(RecentOutcomes.suspicious(0, 3)).isTrue();
        assertThat(RecentOutcomes.suspicious(4, 4)).isTrue();
    }
}
