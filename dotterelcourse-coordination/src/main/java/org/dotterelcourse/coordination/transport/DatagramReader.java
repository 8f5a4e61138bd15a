package org.dotterelcourse.coordination.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.dotterelcourse.coordination.transport.generated.Envelope;

/** Decodes the envelopes of incoming datagrams, one envelope per datagram. */
final class DatagramReader extends SimpleChannelInboundHandler<DatagramPacket> {

    private final PeerTransport transport;

    DatagramReader(PeerTransport transport) {
        this.transport = transport;
    }

    /** Reports and skips malformed datagrams: any host can send one, and the socket must keep reading. */
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) throws Exception {
        int bytes = packet.content().readableBytes();
        try (ByteBufInputStream stream = new ByteBufInputStream(packet.content())) {
            Envelope envelope = Envelope.parseFrom(stream);
            transport.counters().recordReceived(envelope.getChannel(), bytes);
            transport.deliver(envelope, packet.sender(), true);
        } catch (InvalidProtocolBufferException e) {
            transport.reportFailure(e);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        transport.reportFailure(cause);
    }
}
