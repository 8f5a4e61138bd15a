package org.dotterelcourse.daemon.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.dotterelcourse.daemon.http.BoundedBodyCollector;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Calls a plain service over HTTP: docs/PROTOCOLS.md, "Plain services". */
public final class HttpPlainService implements PlainService {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient pooled;
    private final HttpClient fresh;
    private final BoundedBodyCollector bodies;

    /**
     * Makes a client with a connection pool of its own.
     *
     * @param connect the longest time for a connection to be made
     * @param maxBodyBytes the longest answer that is taken; a longer one counts as broken
     */
    public HttpPlainService(Duration connect, int maxBodyBytes) {
        this.pooled = UpstreamClients.pooled(connect);
        this.fresh = UpstreamClients.fresh(connect);
        this.bodies = new BoundedBodyCollector(maxBodyBytes);
    }

    @Override
    public Mono<ServiceReply> call(ServiceCall call) {
        return Mono.defer(() -> {
            AtomicBoolean sent = new AtomicBoolean();
            return send(call, sent)
                    .timeout(call.timeout())
                    .onErrorResume(error -> Mono.just(failed(Failures.ofException(error, sent.get()))))
                    .switchIfEmpty(Mono.fromSupplier(
                            () -> failed(Failures.ofException(new IOException("no answer"), sent.get()))));
        });
    }

    private Mono<ServiceReply> send(ServiceCall call, AtomicBoolean sent) {
        return (call.pooled() ? pooled : fresh)
                .doOnRequest((request, connection) -> sent.set(true))
                .headers(headers ->
                        headers.set("Content-Type", call.contentType()).set("X-Request-Id", call.requestId()))
                .request(HttpMethod.valueOf(call.method()))
                .uri("http://" + call.address() + call.path())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
                .response((response, content) -> reply(response, content))
                .single();
    }

    private Flux<ServiceReply> reply(HttpClientResponse response, Flux<ByteBuf> content) {
        int status = response.status().code();
        boolean notStarted = "true".equals(response.responseHeaders().get("X-Not-Started"));
        if (status == SERVICE_UNAVAILABLE && notStarted) {
            UpstreamFailure refused = new UpstreamFailure(UpstreamFailure.Kind.REFUSED, "the service refused");
            return content.thenMany(Flux.just(failed(refused)));
        }
        String contentType = response.responseHeaders().get("Content-Type", "application/octet-stream");
        return bodies.collect(content)
                .<ServiceReply>map(body -> new ServiceReply.Answered(status, contentType, body))
                .flux();
    }

    private static ServiceReply failed(UpstreamFailure failure) {
        return new ServiceReply.Failed(failure);
    }
}
