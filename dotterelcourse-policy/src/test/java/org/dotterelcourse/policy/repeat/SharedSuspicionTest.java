package org.dotterelcourse.policy.repeat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SharedSuspicionTest {
    private final SharedSuspicion suspicion = new SharedSuspicion();

    // A service answers one in seven requests with a failure while nothing is wrong. Its workers must stay in use.
    @Test
    void usualFailuresAreNotSuspicious() {
        assertThat(suspicion.update(30, 5)).isFalse();
        assertThat(suspicion.update(0, 2)).isFalse();
    }

    // A worker has crashed: requests of several processes fail there within a second.
    @Test
    void aWorkerThatFailsMostRequestsIsSuspicious() {
        assertThat(suspicion.update(0, 3)).isTrue();
        assertThat(new SharedSuspicion().update(4, 4)).isTrue();
    }

    // A worker that fails half of its requests is left out, and nothing more is heard of it. If it were tried again as
    // soon
    // as one failure has faded, it would fail the requests of a few more clients each second.
    @Test
    void aWorkerThatWasLeftOutStaysSoWhileItsFailuresFade() {
        assertThat(suspicion.update(2, 3)).isTrue();
        assertThat(suspicion.update(1, 1.5)).isTrue();
        assertThat(suspicion.update(0.5, 0.7)).isTrue();
        assertThat(suspicion.update(0.4, 0.55)).isFalse();
        assertThat(suspicion.update(1, 1.5)).isFalse();
    }

    // Requests that were under way at the worker end well, many of them: it has recovered, and its capacity is wanted.
    @Test
    void successesEndASuspicionAtOnce() {
        assertThat(suspicion.update(0, 3)).isTrue();
        assertThat(suspicion.update(20, 3)).isFalse();
    }
}
