package org.dotterelcourse.gateway.fleet;

import java.util.List;
import java.util.OptionalDouble;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.rate.LimitNotice;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class LimitNoticeCodecTest {
    @Test
    void decodedNoticesEqualTheEncodedOnes() {
        List<LimitNotice> notices = List.of(
                new LimitNotice(7, OptionalDouble.of(1.3), 20),
                new LimitNotice(-8, OptionalDouble.empty(), 4_000),
                new LimitNotice(9, OptionalDouble.of(0), 0));
        assertThat(LimitNoticeCodec.decode(LimitNoticeCodec.encode(notices))).isEqualTo(notices);
    }

    @Test
    void columnsOfDifferentLengthsAreRejected() {
        FleetProtos.WorkerLimits columns =
                FleetProtos.WorkerLimits.newBuilder().addWorker(7).build();
        assertThatIllegalArgumentException().isThrownBy(() -> LimitNoticeCodec.decode(columns));
    }
}
