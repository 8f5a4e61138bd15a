package org.dotterelcourse.daemon.upstream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class SseDecoderTest {
    private static final String STREAM =
            ": keep-alive\n\ndata: {\"one\"}\n\ndata:é€\r\ndata: two\r\n\r\nevent: error\ndata: [DONE]\n\n";

    @Property(seed = "20261202", tries = 200)
    void decodesTheSameEventsForEveryChunkSize(@ForAll @IntRange(min = 1, max = 80) int chunkSize) {
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        SseDecoder decoder = new SseDecoder();
        List<String> events = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += chunkSize) {
            byte[] chunk = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + chunkSize));
            events.addAll(decoder.decode(Unpooled.wrappedBuffer(chunk)));
        }

        assertThat(events).containsExactly("{\"one\"}", "é€\ntwo", "[DONE]");
    }

    @Test
    void rejectsLineThatExceedsTheMaximumLength() {
        byte[] overlongLine = new byte[(1 << 20) + 1];
        Arrays.fill(overlongLine, (byte) 'x');

        assertThatThrownBy(() -> new SseDecoder().decode(Unpooled.wrappedBuffer(overlongLine)))
                .isInstanceOf(IllegalStateException.class);
    }
}
