package org.dotterelcourse.standins;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * An HTTP server on loopback that can crash and come back: it keeps its port while it refuses connections, and can reset
 * all connections at once.
 */
final class StandInServer {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration CLOSE_LIMIT = Duration.ofSeconds(3);
    private static final int BACKLOG = 4096;

    private final BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler;
    private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
    private int port;
    private DisposableServer server;
    private boolean started;
    private volatile boolean isRepeating;

    StandInServer(int port, BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
        this.port = port;
        this.handler = handler;
    }

    /** Listens; on the port it had before, if it listened before. */
    synchronized void listen() {
        if (server != null) {
            return;
        }
        server = HttpServer.create()
                .host(LOOPBACK)
                .port(port)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .doOnConnection(this::track)
                .handle(this::handle)
                .bindNow();
        port = server.port();
        started = true;
    }

    /** Refuses new connections; those open stay. */
    synchronized void refuse() {
        if (server != null) {
            server.disposeNow(CLOSE_LIMIT);
            server = null;
        }
    }

    /** Resets all open connections. */
    void reset() {
        for (Channel each : connections) {
            each.config().setOption(ChannelOption.SO_LINGER, 0);
            each.close();
        }
    }

    void close() {
        refuse();
        for (Channel each : connections) {
            each.close();
        }
    }

    synchronized String address() {
        if (!started) {
            throw new IllegalStateException("not started");
        }
        return LOOPBACK + ":" + port;
    }

    /** Sends second responses after all responses from now on, or no longer. */
    void repeatResponses(boolean repeating) {
        isRepeating = repeating;
    }

    private void track(Connection connection) {
        Channel channel = connection.channel();
        if (connections.add(channel)) {
            SecondResponses.install(connection, () -> isRepeating);
            channel.closeFuture().addListener(closed -> connections.remove(channel));
        }
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String id = Replies.requestId(request);
        if (!id.isEmpty()) {
            response.header(Replies.REQUEST_ID, id);
        }
        try {
            return Mono.from(handler.apply(request, response))
                    .onErrorResume(
                            IllegalArgumentException.class,
                            e -> Mono.from(Replies.problem(response, 400, e.getMessage())));
        } catch (IllegalArgumentException e) {
            return Replies.problem(response, 400, e.getMessage());
        }
    }
}
