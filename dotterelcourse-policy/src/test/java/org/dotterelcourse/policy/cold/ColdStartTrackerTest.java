package org.dotterelcourse.policy.cold;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ColdStartTrackerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ColdStart COLD_START = new ColdStart(3_000, 5.9);

    private final ColdStartTracker tracker = new ColdStartTracker();

    // Guards against a limited rate for a worker that was only silent for a second.
    @Test
    void aWorkerThatCompletesAnEarlierRequestHasNotRestarted() {
        tracker.assumeRestarted(2 * SECOND);
        assertThat(tracker.isCold(COLD_START, 3 * SECOND)).isTrue();
        tracker.recordCompletion(SECOND);
        assertThat(tracker.isCold(COLD_START, 3 * SECOND)).isFalse();
    }

    @Test
    void aWorkerThatCompletesALaterRequestMayHaveRestarted() {
        tracker.assumeRestarted(2 * SECOND);
        tracker.recordCompletion(2 * SECOND + 1);
        assertThat(tracker.isCold(COLD_START, 3 * SECOND)).isTrue();
    }

    @Test
    void aReportedColdStartIsNotWithdrawn() {
        tracker.recordReport(5_000, SECOND);
        tracker.assumeRestarted(2 * SECOND);
        tracker.recordCompletion(SECOND);
        tracker.forgetAssumedRestart();
        assertThat(tracker.isCold(COLD_START, 3 * SECOND)).isTrue();
    }
}
