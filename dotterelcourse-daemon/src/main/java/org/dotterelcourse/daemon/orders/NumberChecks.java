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
 * Queries a few other daemons for the number of their active configuration, and answers such queries. The owner of a cell
 * issues orders to engines only after a recent confirmation that no daemon asked has a higher configuration number.
 */
final class NumberChecks {
    private static final String CHANNEL = "numbers";

    /** Two peers are queried, so that one peer that has just stopped doesn't delay a rollout. */
    private static final int PEERS_PER_CHECK = 2;

    private static final Logger LOG = Logger.getLogger(NumberChecks.class);

    private final Peers peers;
    private final ConfigurationStore store;
    private final ControlLoop loop;
    private final ConfirmationListener listener;
    private final RandomGenerator random = RandomGenerator.getDefault();

    /** Receives the configuration numbers reported by peers. */
    interface ConfirmationListener {
        void onConfirmed(long number, long sentNanos);
    }

    NumberChecks(Peers peers, ConfigurationStore store, ControlLoop loop, ConfirmationListener listener) {
        this.peers = peers;
        this.store = store;
        this.loop = loop;
        this.listener = listener;
        peers.registerListener(CHANNEL, this::onMessage);
    }

    /** Queries random live peers. Without live peers, the daemon's own number counts as confirmed. */
    void sendChecks() {
        List<String> peerNames = new ArrayList<>();
        for (Member member : peers.view()) {
            if (member.state() == MemberState.ALIVE && !member.name().equals(peers.self())) {
                peerNames.add(member.name());
            }
        }
        if (peerNames.isEmpty()) {
            listener.onConfirmed(activeNumber(), loop.nowNanos());
            return;
        }
        for (int i = 0; i < PEERS_PER_CHECK; i++) {
            send(peerNames.get(random.nextInt(peerNames.size())), false, loop.nowNanos());
        }
    }

    private void onMessage(String from, byte[] body) {
        try {
            NumberCheck check = NumberCheck.parseFrom(body);
            if (check.getAnswer()) {
                listener.onConfirmed(check.getNumber(), check.getStampNanos());
            } else {
                send(from, true, check.getStampNanos());
            }
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("ignoring the configuration number check from " + from + ": malformed message", e);
        }
    }

    private void send(String to, boolean answer, long stampNanos) {
        NumberCheck check = NumberCheck.newBuilder()
                .setAnswer(answer)
                .setStampNanos(stampNanos)
                .setNumber(activeNumber())
                .build();
        peers.send(to, CHANNEL, check.toByteArray());
    }

    private long activeNumber() {
        return store.inForce().map(Configuration::number).orElse(0L);
    }
}
