package org.dotterelcourse.policy.repeat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerTrustTest {
    private static final long SECOND = 1_000_000_000L;

    private final WorkerTrust trust = new WorkerTrust();

    @Test
    void oneFailureMayBeChance() {
        trust.failed(0);
        assertThat(trust.suspected(1)).isFalse();
    }

    // A worker has crashed. Every further request would wait for a connection that never comes.
    @Test
    void aWorkerThatCannotBeReachedIsLeftOutAtOnce() {
        trust.notReached(0);
        assertThat(trust.suspected(1)).isTrue();
        assertThat(trust.suspected(SECOND)).isFalse();
    }

    // A worker fails half of its requests while its health check is good. No two failures need to be in a row.
    @Test
    void aWorkerThatFailsEverySecondRequestIsLeftOut() {
        for (int i = 0; i < 10; i++) {
            trust.failed(i);
            trust.succeeded(i);
        }
        trust.failed(10);
        assertThat(trust.suspected(11)).isTrue();
    }

    @Test
    void aWorkerThatGoesOnFailingIsLeftOutForLongerEachTime() {
        trust.notReached(0);
        trust.notReached(SECOND);
        assertThat(trust.suspected(SECOND + 900_000_000L)).isTrue();
        trust.succeeded(3 * SECOND);
        assertThat(trust.suspected(3 * SECOND)).isFalse();
    }
}
