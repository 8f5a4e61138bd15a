package org.dotterelcourse.policy.repeat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SharedSuspicionTest {
    private final SharedSuspicion suspicion = new SharedSuspicion();

    // A service answers one in seven requests with an error during normal operation. Its workers must stay in use.
    @Test
    void theUsualFailureRateDoesNotMakeAWorkerSuspected() {
        assertThat(suspicion.update(30, 5)).isFalse();
        assertThat(suspicion.update(0, 2)).isFalse();
    }

    // A worker has crashed, and requests of several processes fail there within a second.
    @Test
    void aWorkerThatFailsMostRequestsIsSuspected() {
        assertThat(suspicion.update(0, 3)).isTrue();
        assertThat(new SharedSuspicion().update(4, 4)).isTrue();
    }

    // A worker that fails half of its requests is avoided and has no new outcomes. If it were used again as soon as one
    // failure had decayed, it would fail requests of a few more clients each second.
    @Test
    void aSuspectedWorkerStaysSuspectedUntilItsFailuresHaveDecayed() {
        assertThat(suspicion.update(2, 3)).isTrue();
        assertThat(suspicion.update(1, 1.5)).isTrue();
        assertThat(suspicion.update(0.5, 0.7)).isTrue();
        assertThat(suspicion.update(0.4, 0.55)).isFalse();
        assertThat(suspicion.update(1, 1.5)).isFalse();
    }

    // Many requests that were in flight at the worker succeed: it has recovered, and its capacity is needed.
    @Test
    void enoughSuccessesEndASuspicionAtOnce() {
        assertThat(suspicion.update(0, 3)).isTrue();
        assertThat(suspicion.update(20, 3)).isFalse();
    }
}
