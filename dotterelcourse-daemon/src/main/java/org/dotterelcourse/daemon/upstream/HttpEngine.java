package org.dotterelcourse.daemon.upstream;

import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Sends chat completions over HTTP and reads the answers as server-sent events: docs/PROTOCOLS.md, "Engines". */
public final class HttpEngine implements Engine {
    private static final int OK = 200;

    private final HttpClient client;
    private final UpstreamTimeouts timeouts;
    private final ObjectMapper json = new ObjectMapper();

    /**
     * Makes a client. Each call has a connection of its own: it is closed at the answer's end mark, or cancelled with the
     * work, so there would be none to use again.
     *
     * @param timeouts how long a worker may stay silent
     */
    public HttpEngine(UpstreamTimeouts timeouts) {
        this.client = UpstreamClients.fresh(timeouts.connect());
        this.timeouts = timeouts;
    }

    @Override
    public Flux<EngineEvent> stream(EngineCall call) {
        return Flux.defer(() -> {
            AtomicBoolean sent = new AtomicBoolean();
            return send(call, sent)
                    .timeout(Mono.delay(timeouts.firstEvent()), event -> Mono.delay(timeouts.betweenEvents()))
                    .onErrorResume(error -> Flux.just(failed(Failures.ofException(error, sent.get()))))
                    .concatWith(Mono.fromSupplier(HttpEngine::truncated))
                    .takeUntil(HttpEngine::isLast);
        });
    }

    private Flux<EngineEvent> send(EngineCall call, AtomicBoolean sent) {
        byte[] body = encode(call);
        return client.doOnRequest((request, connection) -> sent.set(true))
                .headers(headers ->
                        headers.set("Content-Type", "application/json").set("X-Request-Id", call.requestId()))
                .post()
                .uri("http://" + call.address() + "/v1/chat/completions")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .response(this::events);
    }

    private Flux<EngineEvent> events(HttpClientResponse response, ByteBufFlux content) {
        int status = response.status().code();
        if (status != OK) {
            UpstreamFailure failure = Failures.ofEngineStatus(status, response.responseHeaders());
            return content.thenMany(Flux.just(failed(failure)));
        }
        SseDecoder lines = new SseDecoder();
        ChunkDecoder chunks = new ChunkDecoder(json);
        // The buffers are released as soon as they have been handed over. An operator that keeps them for a slow caller
        // would read them after they were filled with somebody else's answer; so they are decoded at once, and what
        // waits is text.
        return content.map(lines::decode).concatMapIterable(events -> events).concatMapIterable(chunks::decode);
    }

    private byte[] encode(EngineCall call) {
        ObjectNode body = call.body().deepCopy();
        body.put("model", call.model());
        body.put("version", call.version());
        body.put("stream", true);
        body.put("max_tokens", call.maxTokens());
        body.put("priority", call.priority());
        if (call.resumedTokens() > 0) {
            ObjectNode resume = body.putObject("resume");
            resume.put("text", call.resumedText());
            resume.put("tokens", call.resumedTokens());
        }
        try {
            return json.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can't be written as JSON", e);
        }
    }

    /** A connection that is closed in the middle of an answer looks to HTTP like its end; only the mark tells. */
    private static EngineEvent truncated() {
        return failed(new UpstreamFailure(UpstreamFailure.Kind.BROKEN, "the answer ended without its end mark"));
    }

    private static boolean isLast(EngineEvent event) {
        return !(event instanceof EngineEvent.Piece);
    }

    private static EngineEvent failed(UpstreamFailure failure) {
        return new EngineEvent.Failed(failure);
    }
}
