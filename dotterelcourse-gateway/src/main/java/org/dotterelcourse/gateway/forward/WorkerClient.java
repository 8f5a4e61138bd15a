package org.dotterelcourse.gateway.forward;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.exchange.ExchangeCodec;
import org.dotterelcourse.daemon.http.exchange.ResponseFaultListener;
import org.dotterelcourse.daemon.http.exchange.ResponseMatcher;
import org.dotterelcourse.gateway.GatewayLoop;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to workers over HTTP/1.1, on recently used connections where possible.
 *
 * <p>Pooled connections save workers a handshake per request, but have two risks. First, a request is lost if its
 * connection no longer responds or is closed by the worker at the same moment, and it cannot be determined whether it
 * was executed. Therefore a connection is reused only within a short time after its last response, and only if that
 * response was a success. Second, a second response of a worker, or its beginning, could be taken for the response to the
 * next request. Therefore a response is used only if it identifies the request ({@link ExchangeCodec}), and connections of
 * a worker that has sent anything else are not reused for a time ({@link ReuseRestrictions}).
 */
final class WorkerClient {
    /**
     * Workers accept connections within a few milliseconds. A lost first packet is retransmitted only after a second, by
     * which time another worker would have responded.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /**
     * Maximum idle time of a pooled connection. Higher values save handshakes; but when a worker stops responding, the
     * requests on all connections that were used within this time are lost.
     */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);

    /** Maximum number of connections per worker. Workers accept a few hundred from all router processes together. */
    private static final int MAX_CONNECTIONS = 128;

    /** Limits what is received of each response beyond what its receiver has asked for. */
    private static final int MAX_READ_BYTES = 16 << 10;

    private static final int INITIAL_READ_BYTES = 2 << 10;
    private static final int MIN_READ_BYTES = 64;
    private static final int MIN_NON_SUCCESS_STATUS = 300;

    private final HttpClient client;
    private final ReuseRestrictions restrictions = new ReuseRestrictions();
    private final GatewayLoop loop;
    private final UnaryOperator<InetSocketAddress> addressMapping;
    private final ResponseMemory memory;

    /** Is notified of the outcome of each connection attempt. */
    interface ConnectListener {
        /** Ignores all outcomes. */
        ConnectListener NONE = new ConnectListener() {};

        /** The connection was established. */
        default void onConnect() {}

        /** The connection was refused or timed out. */
        default void onConnectFailure() {}
    }

    /**
     * Creates a client.
     *
     * @param loop the event loop of the connections
     * @param addressMapping returns the address to connect to for a worker's published address
     * @param matcher identifies the response to a request
     * @param faults is notified of data that is not the response to the request in flight
     * @param memory bounds what the responses of all clients that use it hold
     */
    WorkerClient(
            GatewayLoop loop,
            UnaryOperator<InetSocketAddress> addressMapping,
            ResponseMatcher matcher,
            ResponseFaultListener faults,
            ResponseMemory memory) {
        this.memory = memory;
        this.loop = loop;
        this.addressMapping = addressMapping;
        ResponseFaultListener listener = fault -> {
            restrictions.record(fault, loop.nowNanos());
            faults.onFault(fault);
        };
        ConnectionProvider pool = ConnectionProvider.builder("workers")
                .maxConnections(MAX_CONNECTIONS)
                .evictionPredicate(this::isEvicted)
                .lifo()
                .build();
        // By default, the client resends a request when its connection closes early; a payout would be executed twice.
        client = HttpClient.create(pool)
                .runOn(loop.resources(), false)
                .disableRetry(true)
                .doOnChannelInit((observer, channel, address) -> ExchangeCodec.install(channel, matcher, listener))
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /** Creates a client whose servers repeat the id of a request in their response, as workers do. */
    static WorkerClient forWorkers(
            GatewayLoop loop,
            Reachability reachability,
            Dialect dialect,
            ResponseMemory memory,
            MetricRegistry metrics) {
        ResponseFaultLog faults = new ResponseFaultLog(
                metrics,
                "gateway.responses.",
                address -> reachability
                        .links()
                        .findByAddress(address)
                        .map(entry -> "worker " + entry.id())
                        .orElse("unpublished worker"),
                loop::nowNanos);
        return new WorkerClient(
                loop, reachability.addressMapping(), new WorkerResponseMatcher(dialect), faults, memory);
    }

    /**
     * Sends a request.
     *
     * @param worker the address of the worker to send it to
     * @param method the HTTP method
     * @param uri the path and query, sent unchanged
     * @param headers the request headers, sent unchanged
     * @param body the request body
     * @param listener is notified if a connection is opened for the request
     * @return the response once its headers have arrived, or an error of type {@link WorkerConnectionException}
     */
    Mono<StreamedResponse> send(
            InetSocketAddress worker,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            ConnectListener listener) {
        return Mono.defer(() -> {
            AtomicBoolean isSent = new AtomicBoolean();
            InetSocketAddress address = addressMapping.apply(worker);
            return client.remoteAddress(() -> address)
                    .doOnRequest((request, connection) -> {
                        isSent.set(true);
                        if (ExchangeCodec.exchangeCount(connection.channel()) == 0) {
                            listener.onConnect();
                        }
                    })
                    .headers(requestHeaders -> requestHeaders.clear().add(headers))
                    .request(method)
                    .uri(uri)
                    .send((request, outbound) ->
                            body.length == 0 ? outbound : outbound.sendObject(Unpooled.wrappedBuffer(body)))
                    .responseConnection((response, connection) -> Mono.just(toStreamedResponse(response, connection)))
                    .single()
                    .onErrorMap(error -> {
                        if (!isSent.get() && error instanceof ConnectException) {
                            listener.onConnectFailure();
                        }
                        return new WorkerConnectionException(isSent.get(), error);
                    });
        });
    }

    private boolean isEvicted(Connection connection, ConnectionProvider.ConnectionMetadata metadata) {
        return metadata.idleTime() >= MAX_IDLE_TIME.toMillis()
                || !connection.channel().isActive()
                || restrictions.contains(connection.channel().remoteAddress(), loop.nowNanos());
    }

    private StreamedResponse toStreamedResponse(HttpClientResponse response, Connection connection) {
        int status = response.status().code();
        Runnable close = () -> connection.channel().close();
        boolean isReusable = status < MIN_NON_SUCCESS_STATUS
                && !restrictions.contains(connection.channel().remoteAddress(), loop.nowNanos());
        ResponseMemory.Share share = memory.open();
        Flux<byte[]> body = new ResponseBody(connection.inbound().receive(), isReusable, share, close);
        return new StreamedResponse(status, response.responseHeaders().copy(), body, share, close);
    }
}
