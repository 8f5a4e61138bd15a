package org.dotterelcourse.coordination.membership;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TickLatenessTest {
    private static final long MILLI = 1_000_000L;
    private static final long TICK = 100 * MILLI;

    @Test
    void aTickThatIsUpToAPeriodLateIsOnTime() {
        TickLateness lateness = new TickLateness(TICK, 0);
        assertThat(lateness.recordTick(TICK)).isFalse();
        assertThat(lateness.recordTick(3 * TICK)).isFalse();
        assertThat(lateness.recordTick(6 * TICK + MILLI)).isTrue();
        assertThat(lateness.nanos()).isEqualTo(2 * TICK + MILLI);
    }

    /** Guards against a member that keeps its news to itself for half a minute after a pause of some seconds. */
    @Test
    void aLongPauseDelaysGossipByThreeSecondsAtMost() {
        TickLateness lateness = new TickLateness(TICK, 0);
        lateness.recordTick(3 * TICK);
        assertThat(lateness.gossipDelayNanos()).isEqualTo(16 * TICK);
        lateness.recordTick(60_000 * MILLI);
        assertThat(lateness.gossipDelayNanos()).isEqualTo(3_000 * MILLI);
    }
}
