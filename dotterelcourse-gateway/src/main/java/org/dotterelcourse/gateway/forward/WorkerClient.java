package org.dotterelcourse.gateway.forward;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
 * response was a success. Second, a late second response of a worker could be taken for the response to the next
 * request. Therefore data on an idle connection closes it ({@link UnsolicitedDataHandler}), and a response with the id of
 * another request is not used ({@link ResponseValidator}).
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

    private static final int MIN_NON_SUCCESS_STATUS = 300;

    private final HttpClient client;
    private final UnaryOperator<InetSocketAddress> addressMapping;

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
     */
    WorkerClient(GatewayLoop loop, UnaryOperator<InetSocketAddress> addressMapping) {
        this.addressMapping = addressMapping;
        ConnectionProvider pool = ConnectionProvider.builder("workers")
                .maxConnections(MAX_CONNECTIONS)
                .maxIdleTime(MAX_IDLE_TIME)
                .lifo()
                .build();
        // By default, the client resends a request when its connection closes early; a payout would be executed twice.
        client = HttpClient.create(pool)
                .runOn(loop.resources(), false)
                .disableRetry(true)
                .doOnChannelInit((observer, channel, address) -> UnsolicitedDataHandler.install(channel))
                .observe(UnsolicitedDataHandler::updateIdleState)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
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
                        if (UnsolicitedDataHandler.isFirstRequest(connection)) {
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

    private static StreamedResponse toStreamedResponse(HttpClientResponse response, Connection connection) {
        int status = response.status().code();
        Runnable close = () -> connection.channel().close();
        Flux<byte[]> body = new ResponseBody(connection.inbound().receive(), status < MIN_NON_SUCCESS_STATUS, close);
        return new StreamedResponse(status, response.responseHeaders().copy(), body, close);
    }
}
