package org.dotterelcourse.gateway.forward;

import java.util.Arrays;
import java.util.List;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class BodyBufferTest {
    private static final int MAX_BYTES = 300_000;

    private final ResponseMemory memory = new ResponseMemory(1 << 20, 1, () -> 0, new MetricRegistry());
    private final BodyBuffer buffer = new BodyBuffer(memory.open(), MAX_BYTES);

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 4_095, 4_096, 8_192, 16_384, 50_000, MAX_BYTES})
    void aBodyIsThatOfItsPacketsInOrder(int packetBytes) {
        byte[] body = new byte[MAX_BYTES];
        new Random(packetBytes).nextBytes(body);
        for (int begin = 0; begin < MAX_BYTES; begin += packetBytes) {
            buffer.append(Arrays.copyOfRange(body, begin, Math.min(MAX_BYTES, begin + packetBytes)));
        }
        assertThat(buffer.toByteArray()).isEqualTo(body);
    }

    @Test
    void packetsOfAnySizesAreJoined() {
        for (String packet : List.of("a", "b".repeat(5_000), "c", "d".repeat(20_000), "", "e")) {
            buffer.append(packet.getBytes());
        }
        assertThat(new String(buffer.toByteArray()))
                .isEqualTo("a" + "b".repeat(5_000) + "c" + "d".repeat(20_000) + "e");
    }

    @Test
    void aBodyWithoutPacketsIsEmpty() {
        assertThat(buffer.toByteArray()).isEmpty();
        assertThat(memory.held()).isZero();
    }

    // Guards against a body of many tiny packets that takes many times its length.
    @Test
    void aBodyOfTinyPacketsTakesAboutItsLength() {
        for (int i = 0; i < MAX_BYTES; i++) {
            buffer.append(new byte[1]);
        }
        assertThat(memory.held()).isBetween((long) MAX_BYTES, MAX_BYTES + (16L << 10));
    }

    @Test
    void aBodyBeyondTheLimitIsAnError() {
        buffer.append(new byte[MAX_BYTES]);
        assertThatThrownBy(() -> buffer.append(new byte[1]))
                .isInstanceOf(WorkerConnectionException.class)
                .hasMessageContaining("exceeds the limit of " + MAX_BYTES);
    }
}
