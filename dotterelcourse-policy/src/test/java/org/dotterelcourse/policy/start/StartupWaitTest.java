package org.dotterelcourse.policy.start;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StartupWaitTest {
    private static final long MILLI = 1_000_000L;

    private final StartupWait wait = new StartupWait(0, 1_000);

    @Test
    void aRequestWaitsForTheExpectedStartAndAnEighthOfItsAssumedTarget() {
        assertThat(wait.deadlineNanos(200 * MILLI, 9_600)).isEqualTo((1_000 + 100) * MILLI);
    }

    @Test
    void aRequestNeverWaitsLongerThanAThirdOfItsTimeout() {
        assertThat(wait.deadlineNanos(0, 1_200)).isEqualTo(400 * MILLI);
        assertThat(wait.deadlineNanos(0, 0)).isZero();
        assertThat(wait.deadlineNanos(0, -5)).isZero();
    }

    @Test
    void aRequestThatArrivesAfterTheExpectedStartWaitsOnlyForTheMargin() {
        assertThat(wait.deadlineNanos(3_000 * MILLI, 9_600)).isEqualTo(3_100 * MILLI);
    }

    @Test
    void theRetryTimeIsTheRestOfTheExpectedStart() {
        assertThat(wait.retryAfterMillis(250 * MILLI)).isEqualTo(750);
        assertThat(wait.retryAfterMillis(5_000 * MILLI)).isEqualTo(100);
    }

    @Test
    void aBatchIsATenthOfTheProcessesPartOfTheSlots() {
        assertThat(StartupWait.batchSize(3_200, 64)).isEqualTo(5);
        assertThat(StartupWait.batchSize(0, 64)).isEqualTo(1);
        assertThat(StartupWait.batchSize(24, 0)).isEqualTo(2);
    }

    /** Load test: all clients of 64 processes return at once while the processes start at a quarter of a core. */
    @Test
    void aBurstAfterALossOfAllProcessesNeverExceedsTheSlotsInOneRound() {
        Random random = new Random(7);
        int processes = 64;
        int slots = 98 * 32;
        long readyNanos = 900 * MILLI;
        int rejected = 0;
        int forwarded = 0;
        int perRound = 0;
        for (int process = 0; process < processes; process++) {
            Deque<Long> waiting = new ArrayDeque<>();
            for (int i = 0; i < 40; i++) {
                long arrivalNanos = random.nextInt(200) * MILLI;
                long timeoutMillis = random.nextBoolean() ? 4_128 : 10_112;
                if (wait.deadlineNanos(arrivalNanos, timeoutMillis) < readyNanos) {
                    rejected++;
                } else {
                    waiting.add(arrivalNanos);
                }
            }
            int batch = StartupWait.batchSize(slots, processes);
            perRound += batch;
            forwarded += waiting.size();
            assertThat((waiting.size() + batch - 1) / batch)
                    .as("rounds until all have been forwarded")
                    .isLessThanOrEqualTo(10);
        }
        assertThat(perRound).isLessThanOrEqualTo(slots / 10);
        assertThat(rejected).as("ready before the expected time").isZero();
        assertThat(forwarded).isEqualTo(processes * 40);
    }
}
