package org.dotterelcourse.coordination.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.dotterelcourse.coordination.transport.generated.Envelope;

/** Reads envelopes from datagrams, one each. */
final class DatagramReader extends SimpleChannelInboundHandler<DatagramPacket> {

    private final PeerTransport transport;

    DatagramReader(PeerTransport transport) {
        this.transport = transport;
    }

    /** Anyone can send a datagram: one that is no envelope is reported and left, and the socket reads on. */
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) throws Exception {
        int bytes = packet.content().readableBytes();
        try (ByteBufInputStream stream = new ByteBufInputStream(packet.content())) {
            Envelope envelope = Envelope.parseFrom(stream);
            transport.counters().received(envelope.getChannel(), bytes);
            transport.deliver(envelope, packet.sender(), true);
        } catch (InvalidProtocolBufferException e) {
            transport.failed(e);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        transport.failed(cause);
    }
}
