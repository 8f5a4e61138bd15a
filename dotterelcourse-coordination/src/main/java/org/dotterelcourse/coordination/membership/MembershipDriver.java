package org.dotterelcourse.coordination.membership;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.dotterelcourse.coordination.transport.PeerMessage;
import org.dotterelcourse.coordination.transport.PeerTransport;

/**
 * Runs a {@link Membership} on a {@link PeerTransport}: ticks it, hands it messages and carries its effects out.
 * Everything happens on the transport's thread.
 */
public final class MembershipDriver {

    /** The channel of membership's messages. */
    public static final String CHANNEL = "membership";

    private final PeerTransport transport;
    private final Membership membership;
    private final Consumer<MembershipEffect> listener;

    /**
     * Binds a machine to a transport that has been started.
     *
     * @param transport the transport
     * @param membership the machine, which nothing else may drive
     * @param listener hears of all effects other than messages, on the transport's thread
     */
    public MembershipDriver(PeerTransport transport, Membership membership, Consumer<MembershipEffect> listener) {
        this.transport = Objects.requireNonNull(transport);
        this.membership = Objects.requireNonNull(membership);
        this.listener = Objects.requireNonNull(listener);
    }

    /**
     * Starts to tick and to receive.
     *
     * @param tickNanos period of the ticks in nanoseconds, as in the machine's settings
     */
    public void start(long tickNanos) {
        transport.registerHandler(CHANNEL, this::receive);
        transport.schedulePeriodically(tickNanos, () -> handle(new MembershipEvent.Tick()));
    }

    /**
     * Hands an event over from any thread.
     *
     * @param event the event
     */
    public void submit(MembershipEvent event) {
        transport.execute(() -> handle(event));
    }

    /**
     * Handles an event at once. Only on the transport's thread.
     *
     * @param event the event
     */
    public void handle(MembershipEvent event) {
        List<MembershipEffect> effects = membership.on(event, System.nanoTime());
        for (MembershipEffect effect : effects) {
            carryOut(effect);
        }
    }

    private void receive(PeerMessage message) {
        Path path = message.datagram() ? Path.DATAGRAM : Path.STREAM;
        MembershipCodec.decode(message.body())
                .ifPresent(decoded -> handle(new MembershipEvent.Received(message.from(), path, decoded)));
    }

    private void carryOut(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.Send send) {
            send(send);
            return;
        }
        if (effect instanceof MembershipEffect.Reincarnated reincarnated) {
            transport.updateIdentity(reincarnated.id());
        }
        listener.accept(effect);
    }

    private void send(MembershipEffect.Send send) {
        byte[] body = MembershipCodec.encode(send.message());
        switch (send.path()) {
            case DATAGRAM -> transport.sendDatagram(send.to(), CHANNEL, body);
            case STREAM -> transport.send(send.to(), CHANNEL, body);
            case FRESH_STREAM -> transport.sendOnNewConnection(send.to(), CHANNEL, body);
            default -> throw new IllegalStateException(send.path().name());
        }
    }
}
