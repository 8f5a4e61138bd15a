package org.dotterelcourse.gateway.fleet;

import java.util.List;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class StreamVersionCodecTest {
    private static final List<StreamVersionNotice> NOTICES = List.of(
            new StreamVersionNotice(new StreamKey(-5), "v1.1", 1),
            new StreamVersionNotice(new StreamKey(6), "", 2),
            new StreamVersionNotice(new StreamKey(7), "v1.1", 1));

    @Test
    void noticesAreDecodedAsTheyWereEncoded() throws Exception {
        byte[] encoded = StreamVersionCodec.encode(NOTICES).toByteArray();
        assertThat(StreamVersionCodec.decode(FleetProtos.StreamVersions.parseFrom(encoded)))
                .isEqualTo(NOTICES);
    }

    // The figure that docs/CAPACITY.md computes with.
    @Test
    void oneNoticeTakesTwentyTwoBytes() {
        assertThat(StreamVersionCodec.encode(NOTICES.subList(0, 1)).toByteArray())
                .hasSize(22);
    }

    @Test
    void columnsOfDifferentLengthAndMissingVersionsAreRejected() {
        FleetProtos.StreamVersions.Builder columns = StreamVersionCodec.encode(NOTICES).toBuilder();
        assertThatThrownBy(() ->
                        StreamVersionCodec.decode(columns.clone().addStream(8).build()))
                .hasMessageContaining("differ in length");
        assertThatThrownBy(() -> StreamVersionCodec.decode(
                        columns.clone().setVersion(0, 9).build()))
                .hasMessageContaining("version 9 of 2 is missing");
    }
}
