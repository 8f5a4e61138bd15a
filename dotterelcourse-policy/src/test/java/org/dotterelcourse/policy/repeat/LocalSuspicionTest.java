package org.dotterelcourse.policy.repeat;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LocalSuspicionTest {
    private static final long SECOND = 1_000_000_000L;

    private final LocalSuspicion suspicion = new LocalSuspicion();

    @Test
    void aSingleFailureDoesNotMakeAWorkerSuspected() {
        suspicion.recordFailure(0);
        assertThat(suspicion.isSuspected(1)).isFalse();
    }

    // A worker has crashed. Every further request would wait for a connection that cannot be established.
    @Test
    void aConnectFailureMakesAWorkerSuspectedAtOnce() {
        suspicion.recordConnectFailure(0);
        assertThat(suspicion.isSuspected(1)).isTrue();
        assertThat(suspicion.isSuspected(SECOND)).isFalse();
    }

    // A service answers every seventh request with an error during normal operation. If two errors in a row sufficed,
    // one of three workers would be avoided again and again, and requests would queue at the others.
    @Test
    void occasionalErrorResponsesDoNotMakeAWorkerSuspected() {
        suspicion.recordErrorResponse(0);
        suspicion.recordErrorResponse(0);
        for (int i = 0; i < 70; i++) {
            if (i % 7 == 0) {
                suspicion.recordErrorResponse(i);
            } else {
                suspicion.recordSuccess(i);
            }
            assertThat(suspicion.isSuspected(i + 1)).isFalse();
        }
    }

    // A worker fails half of its requests while its health check passes. It may never fail two requests in a row.
    @Test
    void aWorkerThatFailsEverySecondRequestIsSuspected() {
        for (int i = 0; i < 40; i++) {
            suspicion.recordErrorResponse(i);
            suspicion.recordSuccess(i);
        }
        suspicion.recordErrorResponse(40);
        assertThat(suspicion.isSuspected(41)).isTrue();
    }

    @Test
    void theBackoffOfAWorkerThatKeepsFailingGrows() {
        suspicion.recordConnectFailure(0);
        suspicion.recordConnectFailure(SECOND);
        assertThat(suspicion.isSuspected(SECOND + 900_000_000L)).isTrue();
        suspicion.recordSuccess(3 * SECOND);
        assertThat(suspicion.isSuspected(3 * SECOND)).isFalse();
    }
}
