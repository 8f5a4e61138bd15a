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
 * One TCP connection. A middlebox that has lost track of a connection swallows its bytes without closing it: writes
 * still succeed and calls hang. Each side therefore sends heartbeats that carry how many envelopes it has read. A side
 * whose own envelopes stay unconfirmed for a while closes the connection, and the next message opens a new one. A cut
 * in either direction alone is noticed too: either what is sent or its confirmation is lost.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {

    static final String HELLO = "hello";
    static final String HEARTBEAT = "heartbeat";

    private final PeerTransport transport;
    private final TransportLimits limits;
    private final boolean outbound;
    private final boolean fresh;
    private InetSocketAddress peer;
    private Channel channel;
    private ScheduledFuture<?> heartbeats;
    private long sent;
    private long confirmed;
    private long received;
    private long lastMessageNanos;
    private long unconfirmedSinceNanos;
    private boolean retired;

    /** An outbound connection knows its peer; an inbound one learns the peer's port from the hello. */
    PeerConnection(PeerTransport transport, InetSocketAddress peer, boolean fresh) {
        this.fresh = fresh;
        this.transport = transport;
        this.limits = transport.limits();
        this.peer = peer;
        this.outbound = peer != null;
    }

    boolean outbound() {
        return outbound;
    }

    /** Whether this one replaces another that is doubted. */
    boolean fresh() {
        return fresh;
    }

    boolean writable() {
        return channel.isWritable();
    }

    void write(Envelope envelope) {
        if (sent == confirmed) {
            unconfirmedSinceNanos = transport.nanoTime();
        }
        sent++;
        transport.counters().sent(envelope.getChannel(), EnvelopeFrames.frameBytes(envelope));
        channel.writeAndFlush(envelope, channel.voidPromise());
    }

    /** Writes a message of one of the state machines, which keeps the connection open. */
    void writeMessage(Envelope envelope) {
        lastMessageNanos = transport.nanoTime();
        write(envelope);
    }

    /** Another connection is used from now on; this one is read for one more heartbeat's time, then closed. */
    void retire() {
        retired = true;
    }

    void hello() {
        Hello hello =
                Hello.newBuilder().setPort(transport.port()).setFresh(fresh).build();
        write(transport.envelope(HELLO, hello.toByteString()));
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        channel = context.channel();
        lastMessageNanos = transport.nanoTime();
        long period = limits.heartbeatNanos();
        heartbeats = context.executor().scheduleWithFixedDelay(this::beat, period, period, TimeUnit.NANOSECONDS);
        transport.opened(this, peer);
        super.channelActive(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        heartbeats.cancel(false);
        transport.closed(this, peer);
        super.channelInactive(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        if (channel.isWritable() && peer != null) {
            transport.link(peer).drain();
        }
        super.channelWritabilityChanged(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) throws Exception {
        received++;
        transport.counters().received(envelope.getChannel(), EnvelopeFrames.frameBytes(envelope));
        switch (envelope.getChannel()) {
            case HELLO -> greeted(Hello.parseFrom(envelope.getBody()));
            case HEARTBEAT -> confirm(envelope);
            default -> deliver(envelope);
        }
    }

    /** A frame that can't be read leaves the stream out of step: the connection is closed, never resumed. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        transport.failed(cause);
        context.close();
    }

    private void greeted(Hello hello) {
        if (outbound) {
            return;
        }
        InetSocketAddress remote = (InetSocketAddress) channel.remoteAddress();
        peer = new InetSocketAddress(remote.getAddress(), hello.getPort());
        transport.link(peer).adopt(this, hello.getFresh());
    }

    private void confirm(Envelope envelope) throws InvalidProtocolBufferException {
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

    private void beat() {
        long now = transport.nanoTime();
        if (retired) {
            channel.close();
        } else if (silent(now)) {
            transport.silent();
            channel.close();
        } else if (now - lastMessageNanos > limits.idleNanos()) {
            channel.close();
        } else {
            Heartbeat heartbeat = Heartbeat.newBuilder().setReceived(received).build();
            write(transport.envelope(HEARTBEAT, heartbeat.toByteString()));
        }
    }

    /** Each side sends heartbeats, so that there is always something to confirm, whichever direction is cut. */
    private boolean silent(long now) {
        return sent > confirmed && now - unconfirmedSinceNanos > limits.silenceNanos();
    }
}
