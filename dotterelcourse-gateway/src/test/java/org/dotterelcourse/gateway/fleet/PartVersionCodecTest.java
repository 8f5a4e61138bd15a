package org.dotterelcourse.gateway.fleet;

import java.util.List;

import org.dotterelcourse.gateway.fleet.PartVersionCodec.KeptPart;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class PartVersionCodecTest {
    @Test
    void partsAreDecodedAsTheyWereEncoded() {
        List<KeptPart> parts = List.of(
                new KeptPart(new StreamKey(1), "v1"),
                new KeptPart(new StreamKey(-2), ""),
                new KeptPart(new StreamKey(3), "v1"));
        assertThat(PartVersionCodec.decode(PartVersionCodec.encode(parts))).isEqualTo(parts);
        assertThat(PartVersionCodec.decode(PartVersionCodec.encode(List.of()))).isEmpty();
    }

    // Guards against a message of a faulty peer that stops the event loop's work.
    @Test
    void columnsThatDoNotFitAreRejected() {
        FleetProtos.PartVersions.Builder columns =
                FleetProtos.PartVersions.newBuilder().addPart(1).addVersions("v1");
        assertThatIllegalArgumentException().isThrownBy(() -> PartVersionCodec.decode(columns.build()));
        assertThatIllegalArgumentException()
                .isThrownBy(() -> PartVersionCodec.decode(columns.addVersion(1).build()));
    }
}
