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

/** Calls plain services over HTTP (docs/PROTOCOLS.md, "Plain services"). */
public final class HttpPlainService implements PlainService {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient pooled;
    private final HttpClient unpooled;
    private final BoundedBodyCollector bodyCollector;

    /**
     * Creates a client with its own connection pool.
     *
     * @param connectTimeout the maximum time to establish a connection
     * @param maxBodyBytes the maximum length of a response body in bytes; a call with a longer response ends as {@link
     *     UpstreamFailure.Kind#BROKEN}
     */
    public HttpPlainService(Duration connectTimeout, int maxBodyBytes) {
        this.pooled = UpstreamClients.pooled(connectTimeout);
        this.unpooled = UpstreamClients.unpooled(connectTimeout);
        this.bodyCollector = new BoundedBodyCollector(maxBodyBytes);
    }

    @Override
    public Mono<ServiceReply> call(ServiceCall call) {
        return Mono.defer(() -> {
            AtomicBoolean sent = new AtomicBoolean();
            return send(call, sent)
                    .timeout(call.timeout())
                    .onErrorResume(error -> Mono.just(failedReply(Failures.ofException(error, sent.get()))))
                    .switchIfEmpty(Mono.fromSupplier(
                            () -> failedReply(Failures.ofException(new IOException("no answer"), sent.get()))));
        });
    }

    private Mono<ServiceReply> send(ServiceCall call, AtomicBoolean sent) {
        return (call.pooled() ? pooled : unpooled)
                .doOnRequest((request, connection) -> sent.set(true))
                .headers(headers ->
                        headers.set("Content-Type", call.contentType()).set("X-Request-Id", call.requestId()))
                .request(HttpMethod.valueOf(call.method()))
                .uri("http://" + call.address() + call.path())
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
                .response((response, content) -> toReply(response, content))
                .single();
    }

    private Flux<ServiceReply> toReply(HttpClientResponse response, Flux<ByteBuf> content) {
        int status = response.status().code();
        boolean notStarted = "true".equals(response.responseHeaders().get("X-Not-Started"));
        if (status == SERVICE_UNAVAILABLE && notStarted) {
            UpstreamFailure refused = new UpstreamFailure(UpstreamFailure.Kind.REFUSED, "the service refused");
            return content.thenMany(Flux.just(failedReply(refused)));
        }
        String contentType = response.responseHeaders().get("Content-Type", "application/octet-stream");
        return bodyCollector
                .collect(content)
                .<ServiceReply>map(body -> new ServiceReply.Answered(status, contentType, body))
                .flux();
    }

    private static ServiceReply failedReply(UpstreamFailure failure) {
        return new ServiceReply.Failed(failure);
    }
}
