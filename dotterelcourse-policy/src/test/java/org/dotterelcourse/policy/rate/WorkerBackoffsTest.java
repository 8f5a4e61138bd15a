package org.dotterelcourse.policy.rate;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerBackoffsTest {
    private static final long MILLI = 1_000_000L;
    private static final int WORKER = 7;

    /** Monotonic clocks may start anywhere, so that times overflow. */
    private static final long START = Long.MAX_VALUE - 500 * MILLI;

    private final WorkerBackoffs backoffs = new WorkerBackoffs();

    @Test
    void aBackoffLastsAsLongAsTheWorkerHasAsked() {
        assertThat(backoffs.extend(WORKER, 3_000, START)).isTrue();
        assertThat(backoffs.remainingMillis(WORKER, START)).isEqualTo(3_000);
        assertThat(backoffs.remainingMillis(WORKER, START + 2_999 * MILLI + 1)).isEqualTo(1);
        assertThat(backoffs.remainingMillis(WORKER, START + 3_000 * MILLI)).isZero();
        assertThat(backoffs.remainingMillis(WORKER, START + 9_000 * MILLI)).isZero();
    }

    @Test
    void aBackoffIsOfOneIncarnationOnly() {
        backoffs.extend(WORKER, 3_000, START);
        assertThat(backoffs.remainingMillis(WORKER + 1, START)).isZero();
    }

    // Guards against a short time in the answer to an earlier request, which arrives after one with a longer time.
    @Test
    void aShorterTimeDoesNotEndALongerBackoff() {
        backoffs.extend(WORKER, 5_000, START);
        assertThat(backoffs.extend(WORKER, 1_000, START + MILLI)).isFalse();
        assertThat(backoffs.remainingMillis(WORKER, START + MILLI)).isEqualTo(4_999);
    }

    @Test
    void aWorkerMayAskAgainAfterItsBackoff() {
        backoffs.extend(WORKER, 1_000, START);
        assertThat(backoffs.extend(WORKER, 1_000, START + 1_000 * MILLI)).isTrue();
        assertThat(backoffs.remainingMillis(WORKER, START + 1_500 * MILLI)).isEqualTo(500);
    }

    @Test
    void noBackoffIsActiveAfterTheLastOneHasEnded() {
        assertThat(backoffs.isAnyActive(START)).isFalse();
        backoffs.extend(WORKER, 1_000, START);
        backoffs.extend(WORKER + 1, 3_000, START);
        assertThat(backoffs.isAnyActive(START + 2_999 * MILLI)).isTrue();
        assertThat(backoffs.isAnyActive(START + 3_000 * MILLI)).isFalse();
    }

    @Test
    void aTimeOfZeroIsNoBackoff() {
        assertThat(backoffs.extend(WORKER, 0, START)).isFalse();
        assertThat(backoffs.remainingMillis(WORKER, START)).isZero();
    }

    @Property(tries = 200)
    void theLatestEndOfAllStatedTimesApplies(
            @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 5_000) Integer> millis) {
        WorkerBackoffs triedBackoffs = new WorkerBackoffs();
        long latestEnd = 0;
        long now = START;
        for (int each : millis) {
            triedBackoffs.extend(WORKER, each, now);
            latestEnd = Math.max(latestEnd, now - START + each * MILLI);
            assertThat(triedBackoffs.remainingMillis(WORKER, now)).isEqualTo((latestEnd - (now - START)) / MILLI);
            now += 10 * MILLI;
        }
    }
}
