package org.dotterelcourse.gateway.edge;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import reactor.netty.resources.LoopResources;

/**
 * The listening socket of the client port. Where a start is short, it is opened before any other class is loaded, so that
 * clients that connect meanwhile wait in the socket's backlog instead of being refused. Where it is long, it is opened by the
 * HTTP server: a client gives up a connection on which its request is not read within a second, and a refused one connects
 * to another VM at once.
 */
public final class ClientListener {
    /** All connections that clients open at a VM within the longest start; the kernel reduces it to its own maximum. */
    private static final int BACKLOG = 1024;

    /**
     * Expected ratio of the time from listening to being ready to the time from the first statement of the process to
     * listening: between the 3.6 of a whole core and the 8.0 of 0.12 of a core.
     */
    private static final long START_RATIO = 6;

    private static final long MIN_EXPECTED_MILLIS = 300;
    /** Below the 15 s within which service must be back after a loss of all processes. */
    private static final long MAX_EXPECTED_MILLIS = 10_000;

    /** Time for which clients wait for their request to be read. */
    private static final long MAX_BACKLOG_MILLIS = 1_000;

    private final ClientHttpServer.ListenAddress address;
    private final long expectedMillis;
    private ServerSocketChannel socket;
    private long listeningNanos;

    private ClientListener(ClientHttpServer.ListenAddress address, long expectedMillis) {
        this.address = address;
        this.expectedMillis = expectedMillis;
    }

    /**
     * Creates a listener, and opens its socket if the process is expected to serve before clients give up.
     *
     * @param address the address to listen on
     * @param processMillis how long the process has been running, in milliseconds; 0 if it is not starting
     * @return the listener
     * @throws IOException if the address can't be used
     */
    public static ClientListener open(ClientHttpServer.ListenAddress address, long processMillis) throws IOException {
        long expected = Math.max(MIN_EXPECTED_MILLIS, Math.min(MAX_EXPECTED_MILLIS, processMillis * START_RATIO));
        ClientListener listener = new ClientListener(address, expected);
        if (expected <= MAX_BACKLOG_MILLIS) {
            listener.listen();
        }
        return listener;
    }

    /**
     * Opens the socket if it is not open yet.
     *
     * @throws IOException if the address can't be used
     */
    void listen() throws IOException {
        if (socket != null) {
            return;
        }
        ServerSocketChannel opened = ServerSocketChannel.open();
        try {
            opened.bind(new InetSocketAddress(address.address(), address.port()), BACKLOG);
        } catch (IOException e) {
            opened.close();
            throw e;
        }
        listeningNanos = System.nanoTime();
        socket = opened;
    }

    /**
     * Returns the TCP port of the socket.
     *
     * @return the actual port, also if a free one was requested
     */
    public int port() {
        return socket.socket().getLocalPort();
    }

    /** Returns the monotonic time in nanoseconds since when connections are accepted. */
    long listeningNanos() {
        return listeningNanos;
    }

    /** Returns the expected time in milliseconds from listening until this process can serve. */
    long expectedMillis() {
        return expectedMillis;
    }

    /** Returns the given loops, with this socket in place of a new one for the server. */
    LoopResources resources(LoopResources loops) {
        return new LoopResources() {
            @Override
            public EventLoopGroup onServer(boolean useNative) {
                return loops.onServer(useNative);
            }

            @Override
            public EventLoopGroup onServerSelect(boolean useNative) {
                return loops.onServerSelect(useNative);
            }

            @Override
            public <C extends Channel> C onChannel(Class<C> type, EventLoopGroup group) {
                return type.isAssignableFrom(NioServerSocketChannel.class)
                        ? type.cast(new BoundChannel(socket))
                        : loops.onChannel(type, group);
            }

            @Override
            public <C extends Channel> Class<? extends C> onChannelClass(Class<C> type, EventLoopGroup group) {
                return loops.onChannelClass(type, group);
            }
        };
    }

    /** A server channel on a socket that listens already. */
    private static final class BoundChannel extends NioServerSocketChannel {
        BoundChannel(ServerSocketChannel socket) {
            super(socket);
        }

        @Override
        protected void doBind(SocketAddress localAddress) {
            // The socket has been bound before the classes of this channel were loaded.
        }
    }
}
