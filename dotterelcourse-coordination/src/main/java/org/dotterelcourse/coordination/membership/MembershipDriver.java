package org.dotterelcourse.coordination.membership;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.dotterelcourse.coordination.transport.PeerMessage;
import org.dotterelcourse.coordination.transport.PeerTransport;

/**
 * Runs a {@link Membership} on a {@link PeerTransport}: passes ticks and messages to it and executes its effects, all on
 * the transport's thread.
 */
public final class MembershipDriver {

    /** The transport channel of membership messages. */
    public static final String CHANNEL = "membership";

    private final PeerTransport transport;
    private final Membership membership;
    private final Consumer<MembershipEffect> listener;

    /**
     * Creates a driver for a transport that has been started.
     *
     * @param transport the transport
     * @param membership the state machine, which must not be used by another driver
     * @param listener called on the transport's thread for each effect except {@link MembershipEffect.Send}
     */
    public MembershipDriver(PeerTransport transport, Membership membership, Consumer<MembershipEffect> listener) {
        this.transport = Objects.requireNonNull(transport);
        this.membership = Objects.requireNonNull(membership);
        this.listener = Objects.requireNonNull(listener);
    }

    /**
     * Starts the ticks and the reception of messages.
     *
     * @param tickNanos period of the ticks in nanoseconds, as in the settings of the membership
     */
    public void start(long tickNanos) {
        transport.registerHandler(CHANNEL, this::receive);
        transport.schedulePeriodically(tickNanos, () -> handle(new MembershipEvent.Tick()));
    }

    /**
     * Submits an event from any thread.
     *
     * @param event the event
     */
    public void submit(MembershipEvent event) {
        transport.execute(() -> handle(event));
    }

    /**
     * Handles an event immediately. Must be called on the transport's thread.
     *
     * @param event the event
     */
    public void handle(MembershipEvent event) {
        List<MembershipEffect> effects = membership.on(event, System.nanoTime());
        for (MembershipEffect effect : effects) {
            execute(effect);
        }
    }

    private void receive(PeerMessage message) {
        DeliveryMode mode = message.datagram() ? DeliveryMode.DATAGRAM : DeliveryMode.STREAM;
        MembershipCodec.decode(message.body())
                .ifPresent(decoded -> handle(new MembershipEvent.Received(message.from(), mode, decoded)));
    }

    private void execute(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.Send send) {
            send(send);
            return;
        }
        if (effect instanceof MembershipEffect.IncarnationRaised raised) {
            transport.updateIdentity(raised.id());
        }
        listener.accept(effect);
    }

    private void send(MembershipEffect.Send send) {
        byte[] body = MembershipCodec.encode(send.message());
        switch (send.mode()) {
            case DATAGRAM -> transport.sendDatagram(send.to(), CHANNEL, body);
            case STREAM -> transport.send(send.to(), CHANNEL, body);
            case FRESH_STREAM -> transport.sendOnNewConnection(send.to(), CHANNEL, body);
            default -> throw new IllegalStateException(send.mode().name());
        }
    }
}
