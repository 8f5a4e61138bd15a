package org.dotterelcourse.policy.start;

import java.util.ArrayDeque;
import java.util.Deque;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BacklogWaitTest {
    private static final long MILLI = 1_000_000L;

    @Test
    void aRequestThatHasUsedHalfOfItsTimeIsNotForwarded() {
        assertThat(BacklogWait.hasTimeLeft(0, 5_000 * MILLI, 2_499 * MILLI)).isTrue();
        assertThat(BacklogWait.hasTimeLeft(0, 5_000 * MILLI, 2_500 * MILLI)).isFalse();
    }

    /** Guards against clients whose retries keep a loop late. */
    @Test
    void clientsStayAwayForLongerTheLaterTheLoopIs() {
        assertThat(BacklogWait.retryAfterMillis(0)).isEqualTo(500);
        assertThat(BacklogWait.retryAfterMillis(500)).isEqualTo(2_000);
        assertThat(BacklogWait.retryAfterMillis(60_000)).isEqualTo(3_000);
    }

    /** Guards against a backlog in which every request is forwarded so late that none is answered in time. */
    @Property(tries = 100, seed = "11")
    void aProcessThatGetsMoreThanItCanForwardStillServesWhatItCan(@ForAll @IntRange(min = 11, max = 40) int perSecond) {
        long forwardMillis = 100;
        long runMillis = 1_500;
        long timeoutMillis = 5_000;
        Deque<Long> arrivals = new ArrayDeque<>();
        int served = 0;
        long nextArrival = 0;
        long now = 0;
        while (now < 60_000) {
            for (; nextArrival <= now; nextArrival += 1_000 / perSecond) {
                arrivals.add(nextArrival);
            }
            long arrival = arrivals.isEmpty() ? now : arrivals.removeFirst();
            if (BacklogWait.hasTimeLeft(arrival * MILLI, (arrival + timeoutMillis) * MILLI, now * MILLI)) {
                now += forwardMillis;
                served += now + runMillis <= arrival + timeoutMillis ? 1 : 0;
            } else {
                now += forwardMillis / 10;
            }
        }
        assertThat(served).isGreaterThan(300);
    }
}
