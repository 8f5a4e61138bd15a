package org.dotterelcourse.coordination.transport;

import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.dotterelcourse.coordination.transport.generated.Envelope;
import org.dotterelcourse.coordination.transport.generated.Heartbeat;
import org.dotterelcourse.coordination.transport.generated.Hello;

/**
 * Handles one TCP connection to a peer and detects with heartbeats that it no longer delivers data.
 *
 * <p>A middlebox that has lost the state of a connection discards its bytes without closing it: writes still succeed
 * and calls hang. Each side therefore sends heartbeats that carry the number of envelopes it has read. If a side's
 * envelopes remain unconfirmed for too long, it closes the connection, and the next message opens a new one. This also
 * covers loss in one direction only, since either the envelopes or their confirmations are lost.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {

    static final String HELLO = "hello";
    static final String HEARTBEAT = "heartbeat";

    /** Period of the most frequent periodic tasks of a process, membership ticks and load reports. */
    private static final long HEARTBEAT_ALIGNMENT_NANOS = 100_000_000L;

    private final PeerTransport transport;
    private final TransportLimits limits;
    private final boolean outbound;
    private final boolean replacement;
    private InetSocketAddress peer;
    private Channel channel;
    private ScheduledFuture<?> heartbeats;
    private long sent;
    private long confirmed;
    private long received;
    private long lastMessageNanos;
    private long unconfirmedSinceNanos;
    private boolean retired;

    /**
     * Creates the handler of a connection that is about to open.
     *
     * @param transport the transport that owns the connection
     * @param peer the peer port to connect to; null for an inbound connection, whose hello announces the port
     * @param replacement whether this connection replaces one that may no longer deliver data
     */
    PeerConnection(PeerTransport transport, InetSocketAddress peer, boolean replacement) {
        this.replacement = replacement;
        this.transport = transport;
        this.limits = transport.limits();
        this.peer = peer;
        this.outbound = peer != null;
    }

    boolean isOutbound() {
        return outbound;
    }

    /** Returns whether this connection replaces one that may no longer deliver data. */
    boolean isReplacement() {
        return replacement;
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    void write(Envelope envelope) {
        if (sent == confirmed) {
            unconfirmedSinceNanos = transport.nanoTime();
        }
        sent++;
        transport.counters().recordSent(envelope.getChannel(), EnvelopeFrames.frameBytes(envelope));
        channel.writeAndFlush(envelope, channel.voidPromise());
    }

    /** Writes an application message. Unlike a hello or a heartbeat it resets the idle timeout. */
    void writeMessage(Envelope envelope) {
        lastMessageNanos = transport.nanoTime();
        write(envelope);
    }

    /** Marks the connection as replaced: it is still read until the next heartbeat is due, then closed. */
    void retire() {
        retired = true;
    }

    void sendHello() {
        Hello hello = Hello.newBuilder()
                .setPort(transport.port())
                .setFresh(replacement)
                .build();
        write(transport.envelope(HELLO, hello.toByteString()));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        channel = context.channel();
        lastMessageNanos = transport.nanoTime();
        scheduleHeartbeat(context);
        transport.onOpened(this, peer);
        super.channelActive(context);
    }

    /**
     * Schedules the next heartbeat at the last multiple of the transport's alignment within a period, so that heartbeats
     * of many connections and the periodic tasks of the process share its wake-ups. It is never later than a period from
     * now, as the peer expects.
     */
    private void scheduleHeartbeat(ChannelHandlerContext context) {
        long period = limits.heartbeatNanos();
        long delay = period - Math.floorMod(transport.nanoTime() + period, Math.min(period, HEARTBEAT_ALIGNMENT_NANOS));
        heartbeats = context.executor()
                .schedule(
                        () -> {
                            checkAndSendHeartbeat();
                            if (channel.isOpen()) {
                                scheduleHeartbeat(context);
                            }
                        },
                        delay,
                        TimeUnit.NANOSECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        heartbeats.cancel(false);
        transport.onClosed(this, peer);
        super.channelInactive(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        if (channel.isWritable() && peer != null) {
            transport.link(peer).flushQueue();
        }
        super.channelWritabilityChanged(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) throws Exception {
        received++;
        transport.counters().recordReceived(envelope.getChannel(), EnvelopeFrames.frameBytes(envelope));
        switch (envelope.getChannel()) {
            case HELLO -> handleHello(Hello.parseFrom(envelope.getBody()));
            case HEARTBEAT -> handleHeartbeat(envelope);
            default -> deliver(envelope);
        }
    }

    /** Closes the connection: after a malformed frame the start of the next one can't be found. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        transport.reportFailure(cause);
        context.close();
    }

    private void handleHello(Hello hello) {
        if (outbound) {
            return;
        }
        InetSocketAddress remote = (InetSocketAddress) channel.remoteAddress();
        peer = new InetSocketAddress(remote.getAddress(), hello.getPort());
        transport.link(peer).onInboundConnection(this, hello.getFresh());
    }

    private void handleHeartbeat(Envelope envelope) throws InvalidProtocolBufferException {
        long count = Heartbeat.parseFrom(envelope.getBody()).getReceived();
        if (count > confirmed) {
            confirmed = count;
            unconfirmedSinceNanos = transport.nanoTime();
        }
    }

    private void deliver(Envelope envelope) {
        if (peer == null) {
            channel.close();
            return;
        }
        lastMessageNanos = transport.nanoTime();
        transport.deliver(envelope, peer, false);
    }

    private void checkAndSendHeartbeat() {
        long now = transport.nanoTime();
        if (retired) {
            channel.close();
        } else if (isSilent(now)) {
            transport.recordSilentConnection();
            channel.close();
        } else if (now - lastMessageNanos > limits.idleTimeoutNanos()) {
            channel.close();
        } else {
            Heartbeat heartbeat = Heartbeat.newBuilder().setReceived(received).build();
            write(transport.envelope(HEARTBEAT, heartbeat.toByteString()));
        }
    }

    /**
     * Returns whether the peer has confirmed nothing for too long. Heartbeats are confirmed like messages, so there is
     * always an envelope to confirm, even if only one direction is interrupted.
     */
    private boolean isSilent(long now) {
        return sent > confirmed && now - unconfirmedSinceNanos > limits.silenceTimeoutNanos();
    }
}
