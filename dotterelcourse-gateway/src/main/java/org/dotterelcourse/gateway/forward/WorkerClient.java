package org.dotterelcourse.gateway.forward;

import java.net.InetSocketAddress;
import java.time.Duration;
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
 * Sends requests to workers over HTTP/1.1, on a connection that was used a moment ago where there is one.
 *
 * <p>Kept connections save workers a handshake for each request. They have two dangers. A request on one that has gone
 * silent, or that the worker closes in the same moment, is lost, and nobody can tell whether it ran; so a connection is
 * used again only shortly after its last answer, and only after one that was a success. And a worker's late second
 * answer could be taken for the next request's; what arrives on an idle connection closes it, and an answer with another
 * request's id is not used ({@link Forwarder}).
 */
final class WorkerClient {
    /**
     * How long a connection may take. Workers accept within a few milliseconds; a first packet that was lost is sent
     * again only after a second, when another worker would long have answered.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /**
     * How long an idle connection is kept. A longer time saves handshakes; but a worker that falls silent swallows the
     * requests on the connections that were used within this time.
     */
    private static final Duration MAX_IDLE = Duration.ofSeconds(4);

    /** Connections to one worker; workers take some hundred from all processes together. */
    private static final int MAX_CONNECTIONS = 128;

    private static final int FIRST_UNSUCCESSFUL = 300;

    private final HttpClient client;

    WorkerClient(GatewayLoop loop) {
        ConnectionProvider kept = ConnectionProvider.builder("workers")
                .maxConnections(MAX_CONNECTIONS)
                .maxIdleTime(MAX_IDLE)
                .lifo()
                .build();
        // The client would send a request again by itself when a connection breaks early, and a payout would run twice.
        client = HttpClient.create(kept)
                .runOn(loop.resources(), false)
                .disableRetry(true)
                .doOnChannelInit((observer, channel, address) -> IdleGuard.add(channel))
                .observe(IdleGuard::observe)
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
        int status = response.status().code();
        Runnable close = () -> connection.channel().close();
        // A client that closes its connection after the answer cancels this while its last signal is on its way. So the
        // signal at the end doesn't tell whether the body was whole.
        AtomicBoolean whole = new AtomicBoolean();
        Flux<byte[]> body = connection
                .inbound()
                .receive()
                .asByteArray()
                .onErrorMap(error -> new SendFailure(true, error))
                .doOnComplete(() -> whole.set(true))
                .doFinally(signal -> {
                    if (!whole.get() || status >= FIRST_UNSUCCESSFUL) {
                        close.run();
                    }
                });
        return new OpenAnswer(status, response.responseHeaders().copy(), body, close);
    }
}
