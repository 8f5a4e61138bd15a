package org.dotterelcourse.coordination.transport;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.dotterelcourse.coordination.MemberId;

/** Describes a {@link PeerTransport}. The address and the identity must be given. */
public final class PeerTransportBuilder {

    InetSocketAddress bind;
    MemberId self;
    TransportLimits limits = TransportLimits.STANDARD;
    RandomGenerator random = RandomGenerator.getDefault();
    Consumer<Throwable> failures = failure -> {};
    EventLoop loop;

    PeerTransportBuilder() {}

    /**
     * Sets the address to bind.
     *
     * @param address an IP number and a port for both TCP and UDP; port 0 takes a free one
     * @return this builder
     */
    public PeerTransportBuilder bind(InetSocketAddress address) {
        bind = address;
        return this;
    }

    /**
     * Sets the identity in envelopes.
     *
     * @param identity name and incarnation
     * @return this builder
     */
    public PeerTransportBuilder self(MemberId identity) {
        self = identity;
        return this;
    }

    /**
     * Sets the bounds.
     *
     * @param bounds sizes and times
     * @return this builder
     */
    public PeerTransportBuilder limits(TransportLimits bounds) {
        limits = bounds;
        return this;
    }

    /**
     * Sets the source of randomness for the backoff.
     *
     * @param generator used on the transport's thread only
     * @return this builder
     */
    public PeerTransportBuilder random(RandomGenerator generator) {
        random = generator;
        return this;
    }

    /**
     * Sets who hears of malformed messages and of handlers that threw.
     *
     * @param listener called on the transport's thread
     * @return this builder
     */
    public PeerTransportBuilder onFailure(Consumer<Throwable> listener) {
        failures = listener;
        return this;
    }

    /**
     * Sets the thread that everything runs on, for processes whose other work is on the same one: each message between two
     * threads wakes a second one, which costs a VM of less than a core more than the message itself. It has to outlive
     * the transport. Without it the transport has a thread of its own.
     *
     * @param shared the thread
     * @return this builder
     */
    public PeerTransportBuilder loop(EventLoop shared) {
        loop = shared;
        return this;
    }

    /**
     * Builds the transport, not yet started.
     *
     * @return the transport
     * @throws NullPointerException when the address or the identity is missing
     */
    public PeerTransport build() {
        Objects.requireNonNull(bind, "bind");
        Objects.requireNonNull(self, "self");
        return new PeerTransport(this);
    }
}
