package org.dotterelcourse.gateway.forward;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to workers over HTTP/1.1, each on a connection of its own.
 *
 * <p>On a kept connection that the worker closes in the same moment nobody can tell whether the request was read, and a
 * late second answer to an earlier request would be taken for the answer to this one. A fresh connection has neither,
 * and costs a round trip within a data centre.
 */
final class WorkerClient {
    /**
     * How long a connection may take. Workers accept within a few milliseconds; a first packet that was lost is sent
     * again only after a second, when another worker would long have answered.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    private final HttpClient client;

    WorkerClient(GatewayLoop loop) {
        // The client would send a request again by itself when a connection breaks early, and a payout would run twice.
        client = HttpClient.create(ConnectionProvider.newConnection())
                .runOn(loop.resources(), false)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Sends a request.
     *
     * @param worker where to
     * @param method its method
     * @param uri path and query, sent as they are
     * @param headers its headers, sent as they are
     * @param body its body
     * @return the answer's beginning; an error of the type {@link SendFailure} if there is none
     */
    Mono<OpenAnswer> send(WorkerEntry worker, HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
        return Mono.defer(() -> {
            AtomicBoolean sent = new AtomicBoolean();
            InetSocketAddress address = new InetSocketAddress(worker.host(), worker.port());
            return client.remoteAddress(() -> address)
                    .doOnRequest((request, connection) -> sent.set(true))
                    .headers(each -> each.clear().add(headers))
                    .request(method)
                    .uri(uri)
                    .send((request, outbound) ->
                            body.length == 0 ? outbound : outbound.sendObject(Unpooled.wrappedBuffer(body)))
                    .responseConnection((response, connection) -> Mono.just(open(response, connection)))
                    .single()
                    .onErrorMap(error -> new SendFailure(sent.get(), error));
        });
    }

    private static OpenAnswer open(HttpClientResponse response, Connection connection) {
        Flux<byte[]> body = connection
                .inbound()
                .receive()
                .asByteArray()
                .onErrorMap(error -> new SendFailure(true, error))
                .doFinally(signal -> connection.channel().close());
        return new OpenAnswer(
                response.status().code(),
                response.responseHeaders().copy(),
                body,
                () -> connection.channel().close());
    }
}
