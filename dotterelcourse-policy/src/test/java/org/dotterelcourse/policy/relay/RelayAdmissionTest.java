package org.dotterelcourse.policy.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelayAdmissionTest {
    @Test
    void aThirdOfTheRequestsInFlightIsLeftForOwnClients() {
        assertThat(RelayAdmission.accepts(199, 100, 0)).isTrue();
        assertThat(RelayAdmission.accepts(200, 100, 0)).isFalse();
    }

    @Test
    void anIdleProcessRelaysSomeRequests() {
        assertThat(RelayAdmission.accepts(31, 0, 0)).isTrue();
        assertThat(RelayAdmission.accepts(32, 0, 0)).isFalse();
    }

    @Test
    void aProcessThatIsBehindRelaysNothing() {
        assertThat(RelayAdmission.accepts(0, 100, 100)).isFalse();
        assertThat(RelayAdmission.isBehind(100)).isTrue();
        assertThat(RelayAdmission.isBehind(99)).isFalse();
    }
}
