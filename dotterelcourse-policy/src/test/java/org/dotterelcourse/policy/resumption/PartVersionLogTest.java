package org.dotterelcourse.policy.resumption;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PartVersionLogTest {
    private static final StreamKey PART = StreamKey.ofPart("llm", "5c1e");

    private final PartVersionLog log = new PartVersionLog(2);

    @Test
    void theVersionOfThePartsOnlyWorkersIsFound() {
        assertThat(log.find(PART)).isEmpty();
        log.record(PART, "v1", 0);
        log.record(PART, "v1", 1);
        assertThat(log.find(PART)).contains("v1");
    }

    // Guards against a proof by a part that was read at another version first, such as that of a session.
    @Test
    void aPartAtWorkersOfTwoVersionsHasNoneWhateverComesLater() {
        log.record(PART, "v1", 0);
        log.record(PART, "v2", 1);
        log.record(PART, "v2", 2);
        assertThat(log.find(PART)).contains("");
    }

    @Test
    void equalIdsOfTwoUpstreamsAndOfAStreamAreDifferentKeys() {
        log.record(PART, "v1", 0);
        assertThat(log.find(StreamKey.ofPart("other", "5c1e"))).isEmpty();
        assertThat(log.find(StreamKey.of("part", "llm", "5c1e"))).isEmpty();
    }

    @Test
    void theLogIsBoundedAndForgetsOldParts() {
        log.record(PART, "v1", 0);
        log.record(StreamKey.ofPart("llm", "b"), "v1", 1);
        log.record(StreamKey.ofPart("llm", "c"), "v1", 2);
        assertThat(log.size()).isEqualTo(2);
        assertThat(log.find(PART)).isEmpty();
        log.removeBefore(2);
        assertThat(log.size()).isEqualTo(1);
    }
}
