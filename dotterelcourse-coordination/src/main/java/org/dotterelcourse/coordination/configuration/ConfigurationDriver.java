package org.dotterelcourse.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;
import org.dotterelcourse.coordination.membership.MembershipEffect;
import org.dotterelcourse.coordination.ownership.Ownership;
import org.dotterelcourse.coordination.transport.PeerMessage;
import org.dotterelcourse.coordination.transport.PeerTransport;

/**
 * Runs a {@link ConfigurationRelay} on a {@link PeerTransport}, beside a membership. Reads of the service and all news
 * go to the listener; the embedder reads and hands the answers back with {@link #submit}. Everything happens on the
 * transport's thread.
 */
public final class ConfigurationDriver {

    /** The channel of the relay's messages. */
    public static final String CHANNEL = "configuration";

    /** Readers of the service in each data centre: one more than one that may just have failed. */
    public static final int READERS = 2;

    private final PeerTransport transport;
    private final ConfigurationRelay relay;
    private final Consumer<RelayEffect> listener;

    /**
     * Binds a relay to a transport that has been started.
     *
     * @param transport the transport
     * @param relay the machine, which nothing else may drive
     * @param listener hears of all effects other than messages, on the transport's thread
     */
    public ConfigurationDriver(PeerTransport transport, ConfigurationRelay relay, Consumer<RelayEffect> listener) {
        this.transport = Objects.requireNonNull(transport);
        this.relay = Objects.requireNonNull(relay);
        this.listener = Objects.requireNonNull(listener);
    }

    /**
     * Starts to tick and to receive.
     *
     * @param tickNanos period of the ticks in nanoseconds
     */
    public void start(long tickNanos) {
        transport.registerHandler(CHANNEL, this::receive);
        transport.schedulePeriodically(tickNanos, () -> handle(new RelayEvent.Tick()));
    }

    /**
     * Takes the view before anything has changed in it: a process that is alone is the reader, and hears of nobody. Only
     * on the transport's thread.
     *
     * @param self this process
     * @param members the view, this process included
     */
    public void membershipStarted(MemberId self, List<Member> members) {
        handle(roster(self, members));
    }

    /**
     * Takes what membership told. Only on the transport's thread.
     *
     * @param effect the effect
     * @param self this process
     * @param members the view after the effect, this process included
     */
    public void membershipChanged(MembershipEffect effect, MemberId self, List<Member> members) {
        if (effect instanceof MembershipEffect.MemberChanged changed) {
            Member member = changed.member();
            if (!changed.payloadOnly()) {
                handle(roster(self, members));
            }
            if (member.name().equals(self.name())) {
                return;
            }
            handle(new RelayEvent.PeerHead(
                    member.name(),
                    member.payload().configurationNumber(),
                    member.payload().configurationDigest()));
        }
    }

    /**
     * Hands an event over from any thread, such as the answer to a read.
     *
     * @param event the event
     */
    public void submit(RelayEvent event) {
        transport.execute(() -> handle(event));
    }

    /**
     * Handles an event at once. Only on the transport's thread.
     *
     * @param event the event
     */
    public void handle(RelayEvent event) {
        for (RelayEffect effect : relay.on(event, System.nanoTime())) {
            if (effect instanceof RelayEffect.SendTo send) {
                send(send);
            } else {
                listener.accept(effect);
            }
        }
    }

    /**
     * The relay's view of the fleet: all that may answer, and whether this process is a reader.
     *
     * @param self this process
     * @param members the view, this process included
     * @return the event
     */
    public static RelayEvent.Roster roster(MemberId self, List<Member> members) {
        String dataCentre = dataCentre(self, members);
        List<RelayPeer> peers = new ArrayList<>();
        for (Member member : members) {
            boolean answers = member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING;
            if (answers && !member.name().equals(self.name())) {
                boolean near = member.payload().dataCentre().equals(dataCentre);
                peers.add(new RelayPeer(member.name(), member.address(), near));
            }
        }
        List<Member> readers = new Ownership(members, 0, 0).readers(dataCentre, READERS);
        boolean reader = readers.stream().anyMatch(member -> member.name().equals(self.name()));
        return new RelayEvent.Roster(peers, reader);
    }

    private static String dataCentre(MemberId self, List<Member> members) {
        for (Member member : members) {
            if (member.name().equals(self.name())) {
                return member.payload().dataCentre();
            }
        }
        return "";
    }

    /**
     * Heads go to random peers by datagram: they are small and sent in several rounds, and a connection to each of them
     * would keep dozens open, with their heartbeats, where one a change is enough.
     */
    private void send(RelayEffect.SendTo send) {
        byte[] body = ConfigurationCodec.encode(send.message());
        if (send.message() instanceof ConfigurationMessage.Head) {
            transport.sendDatagram(send.to(), CHANNEL, body);
        } else {
            transport.send(send.to(), CHANNEL, body);
        }
    }

    private void receive(PeerMessage message) {
        ConfigurationCodec.decode(message.body())
                .ifPresent(decoded ->
                        handle(new RelayEvent.Received(message.sender().name(), message.from(), decoded)));
    }
}
