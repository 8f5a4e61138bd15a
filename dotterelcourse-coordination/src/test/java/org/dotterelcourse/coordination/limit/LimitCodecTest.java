package org.dotterelcourse.coordination.limit;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LimitCodecTest {
    @Test
    void messagesSurviveTheWire() {
        LimitMessage wants = new LimitMessage.Wants(
                3, List.of(new LimitMessage.Want("a", 4, new Amount(1, 200), new Amount(2, 30))));
        LimitMessage slices =
                new LimitMessage.Slices(3, List.of(new LimitMessage.Slice("a", 4, new Amount(1, 200), 250_000, 77)));

        assertThat(LimitCodec.decode(LimitCodec.encode(wants))).isEqualTo(new LimitCodec.Decoded.Message(wants));
        assertThat(LimitCodec.decode(LimitCodec.encode(slices))).isEqualTo(new LimitCodec.Decoded.Message(slices));
    }

    /** A faulty daemon wants a negative amount. Taken from the budget, it would add to it. */
    @Test
    void negativeAmountsAreReadAsNothing() {
        LimitMessage wants = new LimitMessage.Wants(
                3, List.of(new LimitMessage.Want("a", 4, new Amount(-1, -200), new Amount(0, -1))));
        LimitMessage read =
                new LimitMessage.Wants(3, List.of(new LimitMessage.Want("a", 4, Amount.NOTHING, Amount.NOTHING)));

        assertThat(LimitCodec.decode(LimitCodec.encode(wants))).isEqualTo(new LimitCodec.Decoded.Message(read));
    }

    @Test
    void bytesOfAnotherProtocolAreMalformed() {
        assertThat(LimitCodec.decode(new byte[] {(byte) 0xff, 1})).isInstanceOf(LimitCodec.Decoded.Malformed.class);
        assertThat(LimitCodec.decode(new byte[0])).isInstanceOf(LimitCodec.Decoded.Malformed.class);
    }
}
