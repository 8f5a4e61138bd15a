package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.SimulatedNetwork;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ack;
import org.dotterelcourse.coordination.membership.MembershipMessage.Body;
import org.dotterelcourse.coordination.membership.MembershipMessage.Gossip;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ping;
import org.dotterelcourse.coordination.membership.MembershipMessage.PingRequest;
import org.dotterelcourse.coordination.membership.MembershipMessage.Sync;
import org.dotterelcourse.coordination.membership.MembershipMessage.Table;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

class MembershipCodecPropertyTest {

    @Property(seed = "61", tries = 300)
    void decodedMessageEqualsTheEncodedOne(@ForAll long seed) {
        Random random = new Random(seed);
        List<Update> updates = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            updates.add(update(random));
        }
        MembershipMessage message = new MembershipMessage(body(random), update(random), updates);
        assertThat(MembershipCodec.decode(MembershipCodec.encode(message))).contains(message);
    }

    /**
     * Any host can send datagrams to the peer port. If the decoder threw an exception for some of them, they could be
     * used to disturb a daemon.
     */
    @Property(seed = "62", tries = 1_000)
    void arbitraryBytesAreRejectedWithoutAnException(@ForAll @Size(max = 200) byte[] bytes) {
        assertThatCode(() -> MembershipCodec.decode(bytes)).doesNotThrowAnyException();
    }

    @Property(seed = "63", tries = 500)
    void damagedMessagesAreRejectedOrDecodedWithoutAnException(
            @ForAll long seed, @ForAll @IntRange(max = 10_000) int offset, @ForAll byte value) {
        Random random = new Random(seed);
        byte[] bytes = MembershipCodec.encode(new MembershipMessage(body(random), update(random), List.of()));
        bytes[offset % bytes.length] = value;
        assertThatCode(() -> MembershipCodec.decode(bytes)).doesNotThrowAnyException();
    }

    private static Update update(Random random) {
        Payload payload = new Payload(
                "10.0.0." + random.nextInt(256) + ":8080",
                "dc-" + random.nextInt(7),
                "r-" + random.nextInt(3),
                random.nextLong(),
                random.nextLong(),
                random.nextInt(1_000),
                random.nextInt(4_000),
                random.nextInt(65_536),
                random.nextBoolean());
        MemberState state = MemberState.values()[random.nextInt(4)];
        MemberId id = new MemberId("entry-" + random.nextInt(400), random.nextLong());
        return new Update(id, SimulatedNetwork.address(random.nextInt(60_000)), state, payload, random.nextLong());
    }

    private static Body body(Random random) {
        return switch (random.nextInt(6)) {
            case 0 -> new Ping(random.nextLong(), "entry-1");
            case 1 -> new Ack(random.nextLong(), random.nextBoolean());
            case 2 -> new PingRequest(random.nextLong(), "entry-2", SimulatedNetwork.address(5));
            case 3 -> new Sync(random.nextLong());
            case 4 -> new Table(random.nextBoolean());
            default -> new Gossip();
        };
    }
}
