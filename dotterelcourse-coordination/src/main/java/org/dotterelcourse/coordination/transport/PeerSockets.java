package org.dotterelcourse.coordination.transport;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/** The sockets of a transport: one for TCP and one for UDP on the same port number, and connections to peers. */
final class PeerSockets {

    private static final int BIND_ATTEMPTS = 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int DATAGRAM_BUFFER = 1 << 20;

    private final PeerTransport transport;
    private final EventLoopGroup group;
    private Channel tcp;
    private Channel udp;
    private int port;

    PeerSockets(PeerTransport transport, EventLoopGroup group) {
        this.transport = transport;
        this.group = group;
    }

    int port() {
        return port;
    }

    /** With port 0 the system picks the TCP port; UDP may find the same number taken, and both start over. */
    void bind(InetSocketAddress address) throws IOException {
        int attempts = address.getPort() == 0 ? BIND_ATTEMPTS : 1;
        IOException last = null;
        for (int i = 0; i < attempts; i++) {
            last = tryBind(address);
            if (last == null) {
                return;
            }
        }
        throw last;
    }

    void connect(InetSocketAddress peer, PeerConnection connection) {
        ChannelFuture attempt = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(pipeline(connection))
                .connect(peer);
        attempt.addListener(result -> {
            if (!result.isSuccess()) {
                transport.link(peer).connectFailed(connection.fresh());
            }
        });
    }

    void sendDatagram(InetSocketAddress to, byte[] bytes) {
        udp.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), udp.voidPromise());
    }

    /** Closes the two sockets that peers reach this process by. */
    void close() {
        if (udp != null) {
            tcp.close().awaitUninterruptibly();
            udp.close().awaitUninterruptibly();
        }
    }

    private IOException tryBind(InetSocketAddress address) {
        ChannelFuture tcpBound = bindTcp(address).awaitUninterruptibly();
        if (!tcpBound.isSuccess()) {
            return new IOException("TCP " + address, tcpBound.cause());
        }
        Channel listener = tcpBound.channel();
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        ChannelFuture udpBound = bindUdp(bound).awaitUninterruptibly();
        if (!udpBound.isSuccess()) {
            listener.close().awaitUninterruptibly();
            return new IOException("UDP " + bound, udpBound.cause());
        }
        tcp = listener;
        udp = udpBound.channel();
        port = bound.getPort();
        return null;
    }

    private ChannelFuture bindTcp(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipeline(null))
                .bind(address);
    }

    private ChannelFuture bindUdp(InetSocketAddress address) {
        return new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, DATAGRAM_BUFFER)
                .handler(new DatagramReader(transport))
                .bind(address);
    }

    /** The pipeline of one connection; an inbound one gets a new end for each connection. */
    private ChannelInitializer<SocketChannel> pipeline(PeerConnection outbound) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PeerConnection end = outbound == null ? new PeerConnection(transport, null, false) : outbound;
                channel.pipeline().addLast(new EnvelopeFrames(transport.limits().messageBytes()), end);
            }
        };
    }
}
