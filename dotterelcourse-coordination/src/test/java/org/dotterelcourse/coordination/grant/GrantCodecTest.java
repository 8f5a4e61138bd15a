package org.dotterelcourse.coordination.grant;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class GrantCodecTest {
    private static final GrantId GRANT = new GrantId(-7, 12);
    private static final byte[] PAYLOAD = {1, 2, -3};

    static List<GrantMessage> messages() {
        GrantMessage.Held held = new GrantMessage.Held(5, GRANT, 40);
        GrantMessage.Ask ask = new GrantMessage.Ask(6, 99, PAYLOAD);
        return List.of(
                request(ask),
                request(new GrantMessage.Withdraw(6)),
                request(new GrantMessage.Renew(List.of(held), List.of(6L, 7L))),
                request(new GrantMessage.Release(5, GRANT, PAYLOAD)),
                request(new GrantMessage.Reregister(
                        3, 1, 2, List.of(new GrantMessage.Outstanding(held, "llm-1", 8, PAYLOAD)), List.of(ask))),
                reply(new GrantMessage.Queued(6)),
                reply(new GrantMessage.Granted(6, GRANT, "llm-1", 3_000)),
                reply(new GrantMessage.Refused(6, "CELL_FULL", 2_000)),
                reply(new GrantMessage.Preempted(6, GRANT)),
                reply(new GrantMessage.Renewed(3_000, List.of(5L))),
                reply(new GrantMessage.Registered(3, 1)),
                reply(new GrantMessage.NotOwner("entry-2")));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodesEachMessageAsItWasEncoded(GrantMessage message) {
        GrantCodec.Decoded decoded = GrantCodec.decode(GrantCodec.encode(message));

        assertThat(decoded).usingRecursiveComparison().isEqualTo(new GrantCodec.Decoded.Message(message));
    }

    @Test
    void reportsBytesOfAnotherProtocolAsMalformed() {
        assertThat(GrantCodec.decode(new byte[] {(byte) 0xff, 1, 2})).isInstanceOf(GrantCodec.Decoded.Malformed.class);
        assertThat(GrantCodec.decode(new byte[0])).isInstanceOf(GrantCodec.Decoded.Malformed.class);
    }

    private static GrantMessage request(GrantMessage.Request body) {
        return new GrantMessage.ToOwner("sabla-llm/0", 4, 77, body);
    }

    private static GrantMessage reply(GrantMessage.Reply body) {
        return new GrantMessage.ToClient("sabla-llm/0", 4, 9, 77, 3, body);
    }
}
