package org.dotterelcourse.coordination.limit;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LimitCodecTest {
    @Test
    void decodesEncodedMessages() {
        LimitMessage wants = new LimitMessage.Wants(
                3, List.of(new LimitMessage.Want("a", 4, new Amount(1, 200), new Amount(2, 30))));
        LimitMessage slices =
                new LimitMessage.Slices(3, List.of(new LimitMessage.Slice("a", 4, new Amount(1, 200), 250_000, 77)));

        assertThat(LimitCodec.decode(LimitCodec.encode(wants))).isEqualTo(new LimitCodec.Decoded.Message(wants));
        assertThat(LimitCodec.decode(LimitCodec.encode(slices))).isEqualTo(new LimitCodec.Decoded.Message(slices));
    }

    /**
     * Guards against a budget that grows because a faulty daemon requests a negative amount, which is then deducted.
     */
    @Test
    void negativeAmountsAreDecodedAsZero() {
        LimitMessage wants = new LimitMessage.Wants(
                3, List.of(new LimitMessage.Want("a", 4, new Amount(-1, -200), new Amount(0, -1))));
        LimitMessage expected =
                new LimitMessage.Wants(3, List.of(new LimitMessage.Want("a", 4, Amount.ZERO, Amount.ZERO)));

        assertThat(LimitCodec.decode(LimitCodec.encode(wants))).isEqualTo(new LimitCodec.Decoded.Message(expected));
    }

    @Test
    void invalidBytesAreMalformed() {
        assertThat(LimitCodec.decode(new byte[] {(byte) 0xff, 1})).isInstanceOf(LimitCodec.Decoded.Malformed.class);
        assertThat(LimitCodec.decode(new byte[0])).isInstanceOf(LimitCodec.Decoded.Malformed.class);
    }
}
