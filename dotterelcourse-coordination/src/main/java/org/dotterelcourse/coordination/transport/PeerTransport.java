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
 * Exchanges messages with other processes over TCP and UDP on one port number. Handlers and scheduled tasks run on a
 * single thread, so that state machines need no locks. Delivery is best effort: a message may be lost when a connection
 * breaks, but it is never altered, truncated or merged with another.
 */
public final class PeerTransport implements AutoCloseable {

    private static final int LINK_EVICTION_THRESHOLD = 2_048;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final InetSocketAddress bindAddress;
    private final TransportLimits limits;
    private final RandomGenerator random;
    private final Consumer<Throwable> failureListener;
    private final Optional<MultiThreadIoEventLoopGroup> ownGroup;
    private final EventLoop loop;
    private final ChannelCounters counters = new ChannelCounters();
    private final Map<String, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, PeerLink> links = new HashMap<>();
    private final AtomicLong silentConnections = new AtomicLong();
    private volatile MemberId self;
    private volatile double datagramLoss;
    private volatile boolean closed;
    private final PeerSockets sockets;

    PeerTransport(PeerTransportBuilder builder) {
        bindAddress = builder.bindAddress;
        limits = builder.limits;
        random = builder.random;
        failureListener = builder.failureListener;
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
     * Returns a builder of transports.
     *
     * @return a new builder
     */
    public static PeerTransportBuilder builder() {
        return new PeerTransportBuilder();
    }

    /**
     * Binds both sockets. If that fails, the transport is closed.
     *
     * @return this transport
     * @throws UncheckedIOException if a socket can't be bound, for example because the port is taken
     */
    public PeerTransport start() {
        try {
            sockets.bind(bindAddress);
        } catch (IOException e) {
            close();
            throw new UncheckedIOException(e);
        }
        return this;
    }

    /**
     * Returns the port that both sockets are bound to.
     *
     * @return the port number, 0 before the start
     */
    public int port() {
        return sockets.port();
    }

    /**
     * Returns the address that both sockets are bound to.
     *
     * @return IP address and port; port 0 before the start
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(bindAddress.getAddress(), sockets.port());
    }

    /**
     * Replaces the identity that later envelopes carry as their sender.
     *
     * @param identity name and incarnation of this process
     */
    public void updateIdentity(MemberId identity) {
        self = identity;
    }

    /**
     * Sets the handler of a channel. Messages for a channel without a handler are counted and discarded.
     *
     * @param channel name of the channel
     * @param handler called with each message on the transport's thread; replaces an earlier handler
     */
    public void registerHandler(String channel, PeerHandler handler) {
        handlers.put(channel, handler);
    }

    /**
     * Sends a message by TCP on the current connection to the peer, opening one if necessary. A body larger than
     * {@link TransportLimits#maxMessageBytes} is dropped and counted.
     *
     * @param to address of the receiver's peer port
     * @param channel name of the channel at the receiver
     * @param body the message in the channel's own encoding
     */
    public void send(InetSocketAddress to, String channel, byte[] body) {
        sendStream(to, channel, body, false);
    }

    /**
     * Sends a message by TCP on a new connection, which replaces the current one once it is open. The message is dropped
     * and counted if the connection can't be opened or the body is larger than {@link TransportLimits#maxMessageBytes}.
     *
     * @param to address of the receiver's peer port
     * @param channel name of the channel at the receiver
     * @param body the message in the channel's own encoding
     */
    public void sendOnNewConnection(InetSocketAddress to, String channel, byte[] body) {
        sendStream(to, channel, body, true);
    }

    /**
     * Sends a message by UDP. A body larger than {@link TransportLimits#maxDatagramBytes} is dropped and counted.
     *
     * @param to address of the receiver's peer port
     * @param channel name of the channel at the receiver
     * @param body the message in the channel's own encoding
     */
    public void sendDatagram(InetSocketAddress to, String channel, byte[] body) {
        if (body.length > limits.maxDatagramBytes()) {
            counters.recordDropped(channel);
            return;
        }
        byte[] bytes = envelope(channel, ByteString.copyFrom(body)).toByteArray();
        counters.recordSent(channel, bytes.length);
        if (datagramLoss > 0 && random.nextDouble() < datagramLoss) {
            return;
        }
        sockets.sendDatagram(to, bytes);
    }

    /**
     * Runs a task on the transport's thread as soon as possible.
     *
     * @param task the task; must not block
     */
    public void execute(Runnable task) {
        loop.execute(task);
    }

    /**
     * Runs a task periodically on the transport's thread. Runs are aligned to multiples of the period, so that tasks of the
     * same period wake the thread together. An exception of the task is reported and does not end the schedule.
     *
     * @param periodNanos time between two runs in nanoseconds; runs missed during a pause of this process are skipped
     * @param task the task; must not block
     */
    public void schedulePeriodically(long periodNanos, Runnable task) {
        long delayNanos = periodNanos - Math.floorMod(System.nanoTime(), periodNanos);
        loop.schedule(
                () -> {
                    if (!closed) {
                        try {
                            runAndReportFailure(task);
                        } finally {
                            schedulePeriodically(periodNanos, task);
                        }
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task once on the transport's thread after a delay.
     *
     * @param delayNanos the delay in nanoseconds
     * @param task the task; must not block
     */
    public void scheduleOnce(long delayNanos, Runnable task) {
        schedule(() -> runAndReportFailure(task), delayNanos);
    }

    /**
     * Randomly drops a share of the datagrams sent from now on, to measure the effects of packet loss.
     *
     * @param share the probability that a datagram is dropped, from 0 (none) to 1 (all)
     */
    public void simulateDatagramLoss(double share) {
        datagramLoss = share;
    }

    /**
     * Returns the traffic of each channel since the transport was created.
     *
     * @return the counts by channel name, including the transport's own channels {@code hello} and {@code heartbeat}
     */
    public Map<String, ChannelCount> counts() {
        return counters.snapshot();
    }

    /**
     * Returns the number of connections closed because the peer confirmed no data within the silence timeout.
     *
     * @return the count since the transport was created
     */
    public long silentConnections() {
        return silentConnections.get();
    }

    /**
     * Closes the transport; queued messages are lost. With a thread of its own, it closes all sockets and ends the thread.
     * On a shared thread it closes only the listening sockets; connections to peers end with that thread. Waits for the
     * shutdown, so it must not be called on the transport's thread.
     */
    @Override
    public void close() {
        if (ownGroup.isPresent()) {
            ownGroup.get()
                    .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
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
        if (links.size() >= LINK_EVICTION_THRESHOLD) {
            links.values().removeIf(PeerLink::isIdle);
        }
        return links.computeIfAbsent(peer, address -> new PeerLink(this, address));
    }

    void connect(InetSocketAddress peer, boolean replacement) {
        sockets.connect(peer, new PeerConnection(this, peer, replacement));
    }

    void onOpened(PeerConnection connection, InetSocketAddress peer) {
        if (connection.isOutbound()) {
            link(peer).onConnected(connection);
        }
    }

    void onClosed(PeerConnection connection, InetSocketAddress peer) {
        if (peer != null && !closed && !loop.isShuttingDown()) {
            link(peer).onClosed(connection);
        }
    }

    void recordSilentConnection() {
        silentConnections.incrementAndGet();
    }

    void reportFailure(Throwable cause) {
        failureListener.accept(cause);
    }

    void deliver(Envelope envelope, InetSocketAddress from, boolean datagram) {
        PeerHandler handler = handlers.get(envelope.getChannel());
        if (handler == null) {
            return;
        }
        MemberId sender = new MemberId(envelope.getSender(), envelope.getIncarnation());
        byte[] body = envelope.getBody().toByteArray();
        runAndReportFailure(() -> handler.receive(new PeerMessage(sender, from, datagram, body)));
    }

    private void sendStream(InetSocketAddress to, String channel, byte[] body, boolean replacement) {
        if (body.length > limits.maxMessageBytes()) {
            counters.recordDropped(channel);
            return;
        }
        Envelope envelope = envelope(channel, ByteString.copyFrom(body));
        if (loop.inEventLoop()) {
            sendOnEventLoop(to, envelope, replacement);
        } else {
            loop.execute(() -> sendOnEventLoop(to, envelope, replacement));
        }
    }

    private void sendOnEventLoop(InetSocketAddress to, Envelope envelope, boolean replacement) {
        if (replacement) {
            link(to).sendOnNewConnection(envelope);
        } else {
            link(to).send(envelope);
        }
    }

    /** Runs a task and reports an exception, so that one failing task does not affect the others on the thread. */
    private void runAndReportFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            failureListener.accept(e);
        }
    }
}
