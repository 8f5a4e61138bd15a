package org.dotterelcourse.gateway.fleet;

import java.util.List;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.policy.quarantine.CrashCause;
import org.dotterelcourse.policy.quarantine.CrashNotice;
import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;
import org.dotterelcourse.policy.quarantine.Fingerprint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class CrashNoticeCodecTest {
    private static final List<CrashNotice> NOTICES = List.of(
            new CrashNotice(CrashCause.ofContent(new Fingerprint(-5)), Ending.CRASHED_BEFORE_OUTPUT, -7, 150, 20),
            new CrashNotice(CrashCause.ofPart(new Fingerprint(6), "v1"), Ending.CRASHED_DURING_OUTPUT, 8, 0, 600_000),
            new CrashNotice(CrashCause.ofContent(new Fingerprint(6)), Ending.FINISHED, 0, 0, 1));

    @Test
    void decodedNoticesEqualTheEncodedOnes() {
        assertThat(CrashNoticeCodec.decode(CrashNoticeCodec.encode(NOTICES))).isEqualTo(NOTICES);
    }

    @Test
    void columnsOfDifferentLengthsAreRejected() {
        FleetProtos.CrashNotices incomplete =
                CrashNoticeCodec.encode(NOTICES).toBuilder().clearWorker().build();
        assertThatThrownBy(() -> CrashNoticeCodec.decode(incomplete)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void noticesWithEndingsOfANewerReleaseAreSkipped() {
        FleetProtos.CrashNotices newer = CrashNoticeCodec.encode(NOTICES).toBuilder()
                .setEndingValue(0, 99)
                .build();
        assertThat(CrashNoticeCodec.decode(newer)).isEqualTo(NOTICES.subList(1, NOTICES.size()));
    }
}
