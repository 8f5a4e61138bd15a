package org.dotterelcourse.coordination.transport;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.dotterelcourse.coordination.MemberId;

/** Builds a {@link PeerTransport}. The bind address and the identity are required. */
public final class PeerTransportBuilder {

    InetSocketAddress bindAddress;
    MemberId self;
    TransportLimits limits = TransportLimits.STANDARD;
    RandomGenerator random = RandomGenerator.getDefault();
    Consumer<Throwable> failureListener = failure -> {};
    EventLoop loop;

    PeerTransportBuilder() {}

    /**
     * Sets the address to bind.
     *
     * @param address IP address and the port number for both TCP and UDP; port 0 selects a free one
     * @return this builder
     */
    public PeerTransportBuilder bind(InetSocketAddress address) {
        bindAddress = address;
        return this;
    }

    /**
     * Sets the identity that envelopes carry as their sender.
     *
     * @param identity name and incarnation of this process
     * @return this builder
     */
    public PeerTransportBuilder self(MemberId identity) {
        self = identity;
        return this;
    }

    /**
     * Sets the limits and timeouts. Default: {@link TransportLimits#STANDARD}.
     *
     * @param bounds sizes and times
     * @return this builder
     */
    public PeerTransportBuilder limits(TransportLimits bounds) {
        limits = bounds;
        return this;
    }

    /**
     * Sets the source of randomness for the backoff and for simulated datagram loss.
     *
     * @param generator the generator, used on the transport's thread and by senders of datagrams
     * @return this builder
     */
    public PeerTransportBuilder random(RandomGenerator generator) {
        random = generator;
        return this;
    }

    /**
     * Sets the listener for malformed messages, broken connections, and exceptions of handlers and tasks.
     *
     * @param listener called with the cause, on the transport's thread
     * @return this builder
     */
    public PeerTransportBuilder onFailure(Consumer<Throwable> listener) {
        failureListener = listener;
        return this;
    }

    /**
     * Sets the event loop of the transport, to share a thread with other work of the process. Each message handed from
     * one thread to another wakes the second one, which on a VM with less than one core costs more than the message
     * itself. By default the transport has a thread of its own.
     *
     * @param shared the event loop; must outlive the transport
     * @return this builder
     */
    public PeerTransportBuilder loop(EventLoop shared) {
        loop = shared;
        return this;
    }

    /**
     * Builds the transport without starting it.
     *
     * @return the transport
     * @throws NullPointerException if the bind address or the identity is missing
     */
    public PeerTransport build() {
        Objects.requireNonNull(bindAddress, "bind");
        Objects.requireNonNull(self, "self");
        return new PeerTransport(this);
    }
}
