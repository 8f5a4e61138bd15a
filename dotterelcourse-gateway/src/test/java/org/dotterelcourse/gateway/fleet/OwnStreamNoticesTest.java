package org.dotterelcourse.gateway.fleet;

import org.dotterelcourse.policy.resumption.StreamKey;
import org.dotterelcourse.policy.resumption.StreamVersionNotice;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OwnStreamNoticesTest {
    private static final int MAX_NOTICES = 4_096;

    private final OwnStreamNotices notices = new OwnStreamNotices();

    @Test
    void eachNoticeIsDeferredOnceAndKeptForPeersThatJoin() {
        notices.add(notice(1), 10);
        notices.add(notice(2), 20);
        assertThat(notices.takeDeferred()).containsExactlyInAnyOrder(notice(1), notice(2));
        assertThat(notices.takeDeferred()).isEmpty();
        notices.add(notice(3), 30);
        assertThat(notices.takeDeferred()).containsExactly(notice(3));
        assertThat(notices.all()).containsExactly(notice(1), notice(2), notice(3));
    }

    @Test
    void oldNoticesAreNeitherDeferredNorKept() {
        notices.add(notice(1), 10);
        notices.add(notice(2), 20);
        notices.removeBefore(20);
        assertThat(notices.takeDeferred()).containsExactly(notice(2));
        notices.removeBefore(30);
        assertThat(notices.all()).isEmpty();
        assertThat(notices.takeDeferred()).isEmpty();
    }

    @Test
    void theNumberOfNoticesIsBounded() {
        for (int i = 0; i < MAX_NOTICES + 10; i++) {
            notices.add(notice(i), i);
        }
        assertThat(notices.all()).hasSize(MAX_NOTICES).startsWith(notice(10));
        assertThat(notices.takeDeferred()).hasSize(MAX_NOTICES);
    }

    private static StreamVersionNotice notice(long stream) {
        return new StreamVersionNotice(new StreamKey(stream), "v1", 1);
    }
}
