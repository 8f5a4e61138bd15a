package org.dotterelcourse.gateway.fleet;

import org.dotterelcourse.gateway.published.StorePosition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseDelayTest {
    private static final long MILLI = 1_000_000L;

    private final ResponseDelay delay = new ResponseDelay();

    // Guards against a process whose link is occupied by responses with a configuration that is on its way anyway.
    @Test
    void aPeerThatLacksALargeMessageWaitsUntilItHasProbablyArrived() {
        delay.recordLargeMessage(at(9), 5_000 * MILLI);
        assertThat(delay.delayMillis(at(8), 5_100 * MILLI)).isEqualTo(350);
        assertThat(delay.delayMillis(at(9), 5_100 * MILLI)).isZero();
        assertThat(delay.delayMillis(at(8), 5_450 * MILLI)).isZero();
        assertThat(delay.delayMillis(at(8), 90_000 * MILLI)).isZero();
    }

    @Test
    void aPeerThatHasJustStartedGetsItsResponseAtOnce() {
        delay.recordLargeMessage(at(9), 0);
        assertThat(delay.delayMillis(StorePosition.NONE, 0)).isZero();
    }

    @Test
    void theDelayIsNotExtendedByCopiesOfTheMessage() {
        delay.recordLargeMessage(at(9), 0);
        delay.recordLargeMessage(at(9), 400 * MILLI);
        assertThat(delay.delayMillis(at(8), 450 * MILLI)).isZero();
    }

    @Test
    void theResponseIsNotNeededOnceThePeerHasReportedThePosition() {
        delay.recordLargeMessage(at(9), 0);
        assertThat(delay.hasArrived("edge-1")).isFalse();
        delay.recordPeerPosition("edge-1", at(8));
        assertThat(delay.hasArrived("edge-1")).isFalse();
        delay.recordPeerPosition("edge-1", at(9));
        assertThat(delay.hasArrived("edge-1")).isTrue();
        delay.recordPeerPosition("edge-1", StorePosition.NONE);
        assertThat(delay.hasArrived("edge-1")).isFalse();
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }
}
