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
 * Connects a {@link ConfigurationRelay} to a {@link PeerTransport} and to the changes of the membership. Messages to
 * peers are sent by this class; all other effects, such as reads of the configuration service, go to the listener,
 * which carries out the reads and returns their results with {@link #submit}. All work runs on the transport's thread.
 */
public final class ConfigurationDriver {

    /** The transport channel for messages between relays. */
    public static final String CHANNEL = "configuration";

    /** Readers of the configuration service in each data centre. With two, one is left when the other fails. */
    public static final int READERS_PER_DATA_CENTRE = 2;

    private final PeerTransport transport;
    private final ConfigurationRelay relay;
    private final Consumer<RelayEffect> listener;

    /**
     * Creates a driver that does nothing until {@link #start} is called.
     *
     * @param transport the started transport to the peers
     * @param relay the relay to run; nothing else may send events to it
     * @param listener receives all effects other than messages to peers, on the transport's thread
     */
    public ConfigurationDriver(PeerTransport transport, ConfigurationRelay relay, Consumer<RelayEffect> listener) {
        this.transport = Objects.requireNonNull(transport);
        this.relay = Objects.requireNonNull(relay);
        this.listener = Objects.requireNonNull(listener);
    }

    /**
     * Starts to receive messages and to send the relay periodic ticks.
     *
     * @param tickNanos period of the ticks in nanoseconds
     */
    public void start(long tickNanos) {
        transport.registerHandler(CHANNEL, this::receive);
        transport.schedulePeriodically(tickNanos, () -> handle(new RelayEvent.Tick()));
    }

    /**
     * Passes the initial membership view to the relay. Without this, a process that is alone would never become a
     * reader, since it receives no membership changes. To be called on the transport's thread only.
     *
     * @param self the identity of this process
     * @param members the membership view, this process included
     */
    public void membershipStarted(MemberId self, List<Member> members) {
        handle(peersChanged(self, members));
    }

    /**
     * Passes a membership change to the relay: the new set of peers, and the position of the changed member. To be
     * called on the transport's thread only.
     *
     * @param effect the effect of the membership; all but {@link MembershipEffect.MemberChanged} are ignored
     * @param self the identity of this process
     * @param members the membership view after the change, this process included
     */
    public void membershipChanged(MembershipEffect effect, MemberId self, List<Member> members) {
        if (effect instanceof MembershipEffect.MemberChanged changed) {
            Member member = changed.member();
            if (!changed.payloadOnly()) {
                handle(peersChanged(self, members));
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
     * Schedules an event for the relay. May be called from any thread.
     *
     * @param event the event, such as the result of a read
     */
    public void submit(RelayEvent event) {
        transport.execute(() -> handle(event));
    }

    /**
     * Passes an event to the relay and carries out the effects. To be called on the transport's thread only.
     *
     * @param event the event to handle
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
     * Derives the relay's peers from the membership view: all members that are alive or leaving. Also determines
     * whether this process is one of the readers of its data centre.
     *
     * @param self the identity of this process
     * @param members the membership view, this process included
     * @return the event for the relay
     */
    public static RelayEvent.PeersChanged peersChanged(MemberId self, List<Member> members) {
        String dataCentre = dataCentre(self, members);
        List<RelayPeer> peers = new ArrayList<>();
        for (Member member : members) {
            boolean reachable = member.state() == MemberState.ALIVE || member.state() == MemberState.LEAVING;
            if (reachable && !member.name().equals(self.name())) {
                boolean sameDataCentre = member.payload().dataCentre().equals(dataCentre);
                peers.add(new RelayPeer(member.name(), member.address(), sameDataCentre));
            }
        }
        List<Member> readers = new Ownership(members, 0, 0).readers(dataCentre, READERS_PER_DATA_CENTRE);
        boolean isReader = readers.stream().anyMatch(member -> member.name().equals(self.name()));
        return new RelayEvent.PeersChanged(peers, isReader);
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
     * Sends heads as datagrams and all other messages over connections. Heads are small, repeated in several rounds and
     * sent to random peers; connections for them would leave dozens open, with their heartbeats, although one
     * connection for each change is enough.
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
