package org.dotterelcourse.policy.resumption;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what is known of streams from notices that arrive late, repeatedly and in any order. */
class StreamVersionLogTest {
    private static final int MAX_RECORDS = 8;

    private final StreamVersionLog log = new StreamVersionLog(MAX_RECORDS);

    @Property
    void theLatestAttemptIsKnownWhateverTheOrderOfNotices(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 6) int attempts) {
        StreamVersionLog received = new StreamVersionLog(MAX_RECORDS);
        List<StreamVersionNotice> notices = new ArrayList<>();
        for (int i = 1; i <= attempts; i++) {
            notices.add(notice("id", "v" + i, i));
        }
        notices.addAll(notices);
        Collections.shuffle(notices, random);
        notices.forEach(notice -> received.record(notice, 1));
        assertThat(received.find(key("id"))).contains(notice("id", "v" + attempts, attempts));
    }

    @Test
    void theStreamOfAnotherCustomerOrUpstreamIsNotFound() {
        log.record(notice("id", "v1", 1), 0);
        assertThat(log.find(StreamKey.of("other", "u", "id"))).isEmpty();
        assertThat(log.find(StreamKey.of("customer", "other", "id"))).isEmpty();
        assertThat(log.find(StreamKey.of("customeru", "", "id"))).isEmpty();
        assertThat(log.find(key("id"))).isPresent();
    }

    @Test
    void theNumberOfRecordsIsBoundedAndTheOldestIsDropped() {
        for (int i = 0; i < 3 * MAX_RECORDS; i++) {
            log.record(notice("id-" + i, "v1", 1), i);
        }
        assertThat(log.size()).isEqualTo(MAX_RECORDS);
        assertThat(log.find(key("id-0"))).isEmpty();
        assertThat(log.find(key("id-" + (3 * MAX_RECORDS - 1)))).isPresent();
    }

    @Test
    void recordsOfStreamsThatAreOverAreRemoved() {
        log.record(notice("old", "v1", 1), 10);
        log.record(notice("new", "v1", 1), 20);
        log.removeBefore(20);
        assertThat(log.find(key("old"))).isEmpty();
        assertThat(log.find(key("new"))).isPresent();
    }

    private static StreamVersionNotice notice(String id, String version, int attempt) {
        return new StreamVersionNotice(key(id), version, attempt);
    }

    private static StreamKey key(String id) {
        return StreamKey.of("customer", "u", id);
    }
}
