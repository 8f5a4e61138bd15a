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

/** Binds the TCP and UDP sockets of a transport to one port number and opens connections to peers. */
final class PeerSockets {

    private static final int MAX_BIND_ATTEMPTS = 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int DATAGRAM_RECEIVE_BUFFER_BYTES = 1 << 20;

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

    /**
     * Binds both sockets. With port 0 the system selects the TCP port; if that number is taken for UDP, both are bound
     * again.
     */
    void bind(InetSocketAddress address) throws IOException {
        int attempts = address.getPort() == 0 ? MAX_BIND_ATTEMPTS : 1;
        IOException lastFailure = null;
        for (int i = 0; i < attempts; i++) {
            lastFailure = tryBind(address);
            if (lastFailure == null) {
                return;
            }
        }
        throw lastFailure;
    }

    void connect(InetSocketAddress peer, PeerConnection connection) {
        ChannelFuture connectFuture = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(pipeline(connection))
                .connect(peer);
        connectFuture.addListener(result -> {
            if (!result.isSuccess()) {
                transport.link(peer).onConnectFailed(connection.isReplacement());
            }
        });
    }

    void sendDatagram(InetSocketAddress to, byte[] bytes) {
        udp.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), udp.voidPromise());
    }

    /** Closes the listening sockets; connections to peers stay open. */
    void close() {
        if (udp != null) {
            tcp.close().awaitUninterruptibly();
            udp.close().awaitUninterruptibly();
        }
    }

    private IOException tryBind(InetSocketAddress address) {
        ChannelFuture tcpFuture = bindTcp(address).awaitUninterruptibly();
        if (!tcpFuture.isSuccess()) {
            return new IOException("cannot bind TCP " + address, tcpFuture.cause());
        }
        Channel listener = tcpFuture.channel();
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        ChannelFuture udpFuture = bindUdp(bound).awaitUninterruptibly();
        if (!udpFuture.isSuccess()) {
            listener.close().awaitUninterruptibly();
            return new IOException("cannot bind UDP " + bound, udpFuture.cause());
        }
        tcp = listener;
        udp = udpFuture.channel();
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
                .option(ChannelOption.SO_RCVBUF, DATAGRAM_RECEIVE_BUFFER_BYTES)
                .handler(new DatagramReader(transport))
                .bind(address);
    }

    /** Creates the pipeline of a connection; each accepted connection gets a handler of its own. */
    private ChannelInitializer<SocketChannel> pipeline(PeerConnection outbound) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                PeerConnection handler = outbound == null ? new PeerConnection(transport, null, false) : outbound;
                channel.pipeline().addLast(new EnvelopeFrames(transport.limits().maxMessageBytes()), handler);
            }
        };
    }
}
