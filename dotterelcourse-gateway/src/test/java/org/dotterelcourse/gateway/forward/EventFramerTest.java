package org.dotterelcourse.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventFramerTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n: comment\n\n";

    // The network may split a stream at any byte, also between a carriage return and its line feed.
    @Property(tries = 300, seed = "7")
    void eventsDoNotDependOnWhereTheStreamIsSplit(
            @ForAll @IntRange(max = 45) int first, @ForAll @IntRange(max = 45) int second) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        int firstSplit = Math.min(first, second);
        int secondSplit = Math.min(bytes.length, Math.max(first, second));
        EventFramer framer = new EventFramer();
        List<EventFramer.Event> events = new ArrayList<>();
        events.addAll(framer.append(Arrays.copyOfRange(bytes, 0, firstSplit)));
        events.addAll(framer.append(Arrays.copyOfRange(bytes, firstSplit, secondSplit)));
        events.addAll(framer.append(Arrays.copyOfRange(bytes, secondSplit, bytes.length)));
        assertThat(events).extracting(EventFramer.Event::id).containsExactly("1", "2", "", "");
        StringBuilder joined = new StringBuilder();
        events.forEach(event -> joined.append(new String(event.bytes(), StandardCharsets.UTF_8)));
        assertThat(joined.toString()).isEqualTo(STREAM);
        assertThat(framer.isAtEventBoundary()).isTrue();
    }

    // A worker may crash in the middle of an event. The client must not receive the incomplete event.
    @Test
    void anIncompleteEventIsNotPassedOn() {
        EventFramer framer = new EventFramer();
        assertThat(framer.append("id: 1\nda".getBytes(StandardCharsets.UTF_8))).isEmpty();
        assertThat(framer.isAtEventBoundary()).isFalse();
    }
}
