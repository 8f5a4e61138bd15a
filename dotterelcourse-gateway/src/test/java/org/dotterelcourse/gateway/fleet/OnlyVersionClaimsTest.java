package org.dotterelcourse.gateway.fleet;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos.StreamVersionAnswer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OnlyVersionClaimsTest {
    private final OnlyVersionClaims claims = new OnlyVersionClaims();

    private void add(StreamVersionAnswer.Builder answer) {
        claims.add(answer.build());
    }

    @Test
    void peersThatKnowNothingLeaveItToOthers() {
        add(StreamVersionAnswer.newBuilder());
        assertThat(claims.version()).isEmpty();
        add(StreamVersionAnswer.newBuilder().setOnlyVersion("v1"));
        add(StreamVersionAnswer.newBuilder().setOnlyVersion("v1"));
        assertThat(claims.version()).contains("v1");
    }

    @Test
    void differentClaimsProveNothing() {
        add(StreamVersionAnswer.newBuilder().setOnlyVersion("v1"));
        add(StreamVersionAnswer.newBuilder().setOnlyVersion("v2"));
        assertThat(claims.version()).isEmpty();
    }

    // Guards against a peer that has missed a version and vouches, while another one that has seen it is not heard.
    @Test
    void aPeerThatHasSeenSeveralVersionsContradictsTheOthers() {
        add(StreamVersionAnswer.newBuilder().setSeveralVersions(true));
        add(StreamVersionAnswer.newBuilder().setOnlyVersion("v1"));
        assertThat(claims.version()).isEmpty();
    }
}
