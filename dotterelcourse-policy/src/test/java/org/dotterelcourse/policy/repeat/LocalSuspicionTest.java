package org.dotterelcourse.policy.repeat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LocalSuspicionTest {
    private static final long SECOND = 1_000_000_000L;

    private final LocalSuspicion trust = new LocalSuspicion();

    @Test
    void oneFailureMayBeChance() {
        trust.recordFailure(0);
        assertThat(trust.isSuspected(1)).isFalse();
    }

    // A worker has crashed. Every further request would wait for a connection that never comes.
    @Test
    void aWorkerThatCannotBeReachedIsLeftOutAtOnce() {
        trust.recordConnectFailure(0);
        assertThat(trust.isSuspected(1)).isTrue();
        assertThat(trust.isSuspected(SECOND)).isFalse();
    }

    // A service answers every seventh request with a failure while nothing is wrong. If two in a row were enough, one
    // of
    // three workers would be left out again and again, and the others would queue.
    @Test
    void someFailuresOfItsOwnAreNoReasonToLeaveAWorkerOut() {
        trust.recordErrorResponse(0);
        trust.recordErrorResponse(0);
        for (int i = 0; i < 70; i++) {
            if (i % 7 == 0) {
                trust.recordErrorResponse(i);
            } else {
                trust.recordSuccess(i);
            }
            assertThat(trust.isSuspected(i + 1)).isFalse();
        }
    }

    // A worker fails half of its requests while its health check is good. No two failures need to be in a row.
    @Test
    void aWorkerThatFailsEverySecondRequestIsLeftOut() {
        for (int i = 0; i < 40; i++) {
            trust.recordErrorResponse(i);
            trust.recordSuccess(i);
        }
        trust.recordErrorResponse(40);
        assertThat(trust.isSuspected(41)).isTrue();
    }

    @Test
    void aWorkerThatGoesOnFailingIsLeftOutForLongerEachTime() {
        trust.recordConnectFailure(0);
        trust.recordConnectFailure(SECOND);
        assertThat(trust.isSuspected(SECOND + 900_000_000L)).isTrue();
        trust.recordSuccess(3 * SECOND);
        assertThat(trust.isSuspected(3 * SECOND)).isFalse();
    }
}
