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

/** Sends chat completions over HTTP and reads the answers as server-sent events (docs/PROTOCOLS.md, "Engines"). */
public final class HttpEngine implements Engine {
    private static final int OK = 200;

    private final HttpClient client;
    private final UpstreamTimeouts timeouts;
    private final ObjectMapper json = new ObjectMapper();

    /**
     * Creates a client that opens a new connection for each call. The connection is closed at the answer's end marker
     * or when the request is cancelled, so a pool would have no connection to reuse.
     *
     * @param timeouts the limits for connecting, for the first event and between events
     */
    public HttpEngine(UpstreamTimeouts timeouts) {
        this.client = UpstreamClients.unpooled(timeouts.connect());
        this.timeouts = timeouts;
    }

    @Override
    public Flux<EngineEvent> stream(EngineCall call) {
        return Flux.defer(() -> {
            AtomicBoolean sent = new AtomicBoolean();
            return send(call, sent)
                    .timeout(Mono.delay(timeouts.firstEvent()), event -> Mono.delay(timeouts.betweenEvents()))
                    .onErrorResume(error -> Flux.just(failedEvent(Failures.ofException(error, sent.get()))))
                    .concatWith(Mono.fromSupplier(HttpEngine::truncated))
                    .takeUntil(HttpEngine::isTerminal);
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
                .response(this::decodeResponse);
    }

    private Flux<EngineEvent> decodeResponse(HttpClientResponse response, ByteBufFlux content) {
        int status = response.status().code();
        if (status != OK) {
            UpstreamFailure failure = Failures.ofEngineStatus(status, response.responseHeaders());
            return content.thenMany(Flux.just(failedEvent(failure)));
        }
        SseDecoder sseDecoder = new SseDecoder();
        ChunkDecoder chunkDecoder = new ChunkDecoder(json);
        // Reactor Netty releases each buffer when the subscriber returns. An operator that queues buffers for a slow
        // client would read them after they were reused for another client's answer. They are therefore decoded at
        // once, and only the decoded text is queued.
        return content.map(sseDecoder::decode)
                .concatMapIterable(events -> events)
                .concatMapIterable(chunkDecoder::decode);
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
            throw new IllegalStateException("failed to serialize the chat completion as JSON", e);
        }
    }

    /** Without the end marker, HTTP cannot distinguish a connection closed in mid-answer from a complete answer. */
    private static EngineEvent truncated() {
        return failedEvent(new UpstreamFailure(UpstreamFailure.Kind.BROKEN, "the answer ended without its end mark"));
    }

    private static boolean isTerminal(EngineEvent event) {
        return !(event instanceof EngineEvent.Piece);
    }

    private static EngineEvent failedEvent(UpstreamFailure failure) {
        return new EngineEvent.Failed(failure);
    }
}
