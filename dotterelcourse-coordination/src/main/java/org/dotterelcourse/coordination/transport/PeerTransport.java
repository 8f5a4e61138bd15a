package org.dotterelcourse.coordination.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.transport.generated.Envelope;

/**
 * Messages between processes over TCP and UDP on one port number. Everything runs on one thread: handlers are called on
 * it, and so are the tasks given to {@link #execute} and {@link #schedulePeriodically}, so that state machines need no locks. Delivery
 * is best effort: a message may be lost when a connection breaks, but it is never changed, cut or merged.
 */
public final class PeerTransport implements AutoCloseable {

    private static final int LINK_BOUND = 2_048;
    private static final long CLOSE_SECONDS = 5;

    private final InetSocketAddress bind;
    private final TransportLimits limits;
    private final RandomGenerator random;
    private final Consumer<Throwable> failures;
    private final Optional<MultiThreadIoEventLoopGroup> ownGroup;
    private final EventLoop loop;
    private final ChannelCounters counters = new ChannelCounters();
    private final Map<String, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, PeerLink> links = new HashMap<>();
    private final AtomicLong silences = new AtomicLong();
    private volatile MemberId self;
    private volatile double datagramLoss;
    private volatile boolean closed;
    private final PeerSockets sockets;

    PeerTransport(PeerTransportBuilder builder) {
        bind = builder.bind;
        limits = builder.limits;
        random = builder.random;
        failures = builder.failures;
        self = builder.self;
        ownGroup = builder.loop == null ? Optional.of(newGroup(self)) : Optional.empty();
        loop = ownGroup.isPresent() ? ownGroup.get().next() : builder.loop;
        sockets = new PeerSockets(this, loop);
    }

    private static MultiThreadIoEventLoopGroup newGroup(MemberId self) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("peers-" + self.name(), true), NioIoHandler.newFactory());
    }

    /**
     * Starts the description of a transport.
     *
     * @return a builder
     */
    public static PeerTransportBuilder builder() {
        return new PeerTransportBuilder();
    }

    /**
     * Binds both sockets.
     *
     * @return this transport
     * @throws UncheckedIOException when the port is taken
     */
    public PeerTransport start() {
        try {
            sockets.bind(bind);
        } catch (IOException e) {
            close();
            throw new UncheckedIOException(e);
        }
        return this;
    }

    /**
     * The port that both sockets are bound to.
     *
     * @return the port number, 0 before the start
     */
    public int port() {
        return sockets.port();
    }

    /**
     * The address that both sockets are bound to.
     *
     * @return IP number and port
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(bind.getAddress(), sockets.port());
    }

    /**
     * Sets the identity that envelopes carry from now on.
     *
     * @param identity name and incarnation
     */
    public void updateIdentity(MemberId identity) {
        self = identity;
    }

    /**
     * Sets the handler of a channel. Messages for a channel without one are counted and left.
     *
     * @param channel the channel's name
     * @param handler called on the transport's thread
     */
    public void registerHandler(String channel, PeerHandler handler) {
        handlers.put(channel, handler);
    }

    /**
     * Sends by TCP on the kept connection. A body above the limit is dropped and counted.
     *
     * @param to the peer port of the receiver
     * @param channel the receiver's channel
     * @param body the channel's own encoding
     */
    public void send(InetSocketAddress to, String channel, byte[] body) {
        sendStream(to, channel, body, false);
    }

    /**
     * Sends by TCP on a new connection, which replaces the kept one once it is there. Without one it is dropped.
     *
     * @param to the peer port of the receiver
     * @param channel the receiver's channel
     * @param body the channel's own encoding
     */
    public void sendOnNewConnection(InetSocketAddress to, String channel, byte[] body) {
        sendStream(to, channel, body, true);
    }

    /**
     * Sends by UDP. A body above the limit is dropped and counted.
     *
     * @param to the peer port of the receiver
     * @param channel the receiver's channel
     * @param body the channel's own encoding
     */
    public void sendDatagram(InetSocketAddress to, String channel, byte[] body) {
        if (body.length > limits.maxDatagramBytes()) {
            counters.dropped(channel);
            return;
        }
        byte[] bytes = envelope(channel, ByteString.copyFrom(body)).toByteArray();
        counters.sent(channel, bytes.length);
        if (datagramLoss > 0 && random.nextDouble() < datagramLoss) {
            return;
        }
        sockets.sendDatagram(to, bytes);
    }

    /**
     * Runs a task on the transport's thread.
     *
     * @param task must not block
     */
    public void execute(Runnable task) {
        loop.execute(task);
    }

    /**
     * Runs a task on the transport's thread again and again, at the multiples of its period, so that tasks of the same
     * period wake the thread once and not each at a time of its own. A task that throws is reported and runs on.
     *
     * @param periodNanos time between two runs in nanoseconds; longer after a pause of this process
     * @param task must not block
     */
    public void schedulePeriodically(long periodNanos, Runnable task) {
        long toNext = periodNanos - Math.floorMod(System.nanoTime(), periodNanos);
        loop.schedule(
                () -> {
                    if (!closed) {
                        guarded(task);
                        schedulePeriodically(periodNanos, task);
                    }
                },
                toNext,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task on the transport's thread once.
     *
     * @param delayNanos after how long, in nanoseconds
     * @param task must not block
     */
    public void scheduleOnce(long delayNanos, Runnable task) {
        schedule(() -> guarded(task), delayNanos);
    }

    /**
     * Drops a share of the datagrams that are sent from now on, to measure what loss does.
     *
     * @param share from 0 for none to 1 for all
     */
    public void simulateDatagramLoss(double share) {
        datagramLoss = share;
    }

    /**
     * What each channel has carried.
     *
     * @return the counts by channel name; {@code hello} and {@code heartbeat} are the transport's own
     */
    public Map<String, ChannelCount> counts() {
        return counters.snapshot();
    }

    /**
     * How many connections were closed because they had gone silent.
     *
     * @return the count since the start
     */
    public long silentConnections() {
        return silences.get();
    }

    /**
     * Closes all sockets and ends the thread, unless that is shared: then connections to peers end with it. Messages that
     * wait are lost. Not to be called on the transport's own thread, for whose end it waits.
     */
    @Override
    public void close() {
        if (ownGroup.isPresent()) {
            ownGroup.get()
                    .shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS)
                    .awaitUninterruptibly();
        } else {
            closed = true;
            sockets.close();
        }
    }

    TransportLimits limits() {
        return limits;
    }

    ChannelCounters counters() {
        return counters;
    }

    RandomGenerator random() {
        return random;
    }

    long nanoTime() {
        return System.nanoTime();
    }

    void schedule(Runnable task, long delayNanos) {
        loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }

    Envelope envelope(String channel, ByteString body) {
        MemberId identity = self;
        return Envelope.newBuilder()
                .setSender(identity.name())
                .setIncarnation(identity.incarnation())
                .setChannel(channel)
                .setBody(body)
                .build();
    }

    PeerLink link(InetSocketAddress peer) {
        if (links.size() >= LINK_BOUND) {
            links.values().removeIf(PeerLink::idle);
        }
        return links.computeIfAbsent(peer, address -> new PeerLink(this, address));
    }

    void connect(InetSocketAddress peer, boolean fresh) {
        sockets.connect(peer, new PeerConnection(this, peer, fresh));
    }

    void opened(PeerConnection connection, InetSocketAddress peer) {
        if (connection.outbound()) {
            link(peer).connected(connection);
        }
    }

    void closed(PeerConnection connection, InetSocketAddress peer) {
        if (peer != null && !closed && !loop.isShuttingDown()) {
            link(peer).closed(connection);
        }
    }

    void silent() {
        silences.incrementAndGet();
    }

    void failed(Throwable cause) {
        failures.accept(cause);
    }

    void deliver(Envelope envelope, InetSocketAddress from, boolean datagram) {
        PeerHandler handler = handlers.get(envelope.getChannel());
        if (handler == null) {
            return;
        }
        MemberId sender = new MemberId(envelope.getSender(), envelope.getIncarnation());
        byte[] body = envelope.getBody().toByteArray();
        guarded(() -> handler.receive(new PeerMessage(sender, from, datagram, body)));
    }

    private void sendStream(InetSocketAddress to, String channel, byte[] body, boolean fresh) {
        if (body.length > limits.messageBytes()) {
            counters.dropped(channel);
            return;
        }
        Envelope envelope = envelope(channel, ByteString.copyFrom(body));
        if (loop.inEventLoop()) {
            sendNow(to, envelope, fresh);
        } else {
            loop.execute(() -> sendNow(to, envelope, fresh));
        }
    }

    private void sendNow(InetSocketAddress to, Envelope envelope, boolean fresh) {
        if (fresh) {
            link(to).sendOnNewConnection(envelope);
        } else {
            link(to).send(envelope);
        }
    }

    /** One message that a handler can't take must not end the thread that all others run on. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            failures.accept(e);
        }
    }
}
