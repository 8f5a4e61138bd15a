package org.dotterelcourse.daemon.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.daemon.cells.generated.NumberCheck;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import org.jboss.logging.Logger;

/**
 * Asks a few other daemons which number they have in force, and answers them. An owner orders engines only while somebody
 * has just confirmed that no higher number than its own is known.
 */
final class NumberChecks {
    private static final String CHANNEL = "numbers";

    /** Two are asked, so that one that has just gone doesn't hold up a roll. */
    private static final int ASKED = 2;

    private static final Logger LOG = Logger.getLogger(NumberChecks.class);

    private final Peers peers;
    private final ConfigurationStore store;
    private final ControlLoop loop;
    private final Confirmed confirmed;
    private final RandomGenerator random = RandomGenerator.getDefault();

    /** Hears of confirmations. */
    interface Confirmed {
        void confirmed(long number, long askedNanos);
    }

    NumberChecks(Peers peers, ConfigurationStore store, ControlLoop loop, Confirmed confirmed) {
        this.peers = peers;
        this.store = store;
        this.loop = loop;
        this.confirmed = confirmed;
        peers.registerListener(CHANNEL, this::received);
    }

    /** Asks. A daemon that is alone in its fleet has nobody to contradict it. */
    void ask() {
        List<String> others = new ArrayList<>();
        for (Member member : peers.view()) {
            if (member.state() == MemberState.ALIVE && !member.name().equals(peers.self())) {
                others.add(member.name());
            }
        }
        if (others.isEmpty()) {
            confirmed.confirmed(number(), loop.nowNanos());
            return;
        }
        for (int i = 0; i < ASKED; i++) {
            send(others.get(random.nextInt(others.size())), false, loop.nowNanos());
        }
    }

    private void received(String from, byte[] body) {
        try {
            NumberCheck check = NumberCheck.parseFrom(body);
            if (check.getAnswer()) {
                confirmed.confirmed(check.getNumber(), check.getStampNanos());
            } else {
                send(from, true, check.getStampNanos());
            }
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("a number check of " + from + " can't be read", e);
        }
    }

    private void send(String to, boolean answer, long stampNanos) {
        NumberCheck check = NumberCheck.newBuilder()
                .setAnswer(answer)
                .setStampNanos(stampNanos)
                .setNumber(number())
                .build();
        peers.send(to, CHANNEL, check.toByteArray());
    }

    private long number() {
        return store.inForce().map(Configuration::number).orElse(0L);
    }
}
