package org.dotterelcourse.standins;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP calls of an engine. */
final class EngineRoutes {
    private static final String CANCEL = "/v1/cancel/";
    private static final String KV = "/v1/kv/";
    private static final String RESUME = "resume";

    private final EngineStandIn engine;

    EngineRoutes(EngineStandIn engine) {
        this.engine = engine;
    }

    Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = "/" + request.path();
        if (path.equals("/_fault")) {
            return Replies.withBody(request, body -> engine.faults().set(body, response));
        }
        if (path.equals("/_stats")) {
            return Replies.json(response, 200, Map.of("requests", engine.stats()));
        }
        if (path.equals("/v1/load")) {
            return loadReport(response);
        }
        if (path.equals("/v1/chat/completions")) {
            return Replies.withBody(request, body -> complete(request, Json.parse(body), response));
        }
        if (path.equals("/v1/cache/events")) {
            long after = Long.parseLong(Replies.query(request, "after", "0"));
            return Replies.json(response, 200, Map.of("events", engine.cacheEvents(after)));
        }
        if (path.equals("/v1/orders")) {
            return Replies.withBody(request, body -> order(Json.parse(body), response));
        }
        if (path.startsWith(CANCEL)) {
            engine.cancel(path.substring(CANCEL.length()));
            return Replies.status(response, 200);
        }
        if (path.startsWith(KV)) {
            return kv(path.substring(KV.length()), request, response);
        }
        return Replies.problem(response, 404, "no such call");
    }

    private Publisher<Void> loadReport(HttpServerResponse response) {
        // A stalled engine is one whose process hangs, so its report hangs as well.
        if (engine.faults().on(Fault.Kind.STALL)) {
            return Mono.never();
        }
        return Replies.json(response, 200, engine.lateReport());
    }

    private Publisher<Void> order(JsonNode body, HttpServerResponse response) {
        boolean taken = engine.orders().order(body);
        return Replies.json(
                response, taken ? 200 : 409, Map.of("fence", engine.orders().fence()));
    }

    private Publisher<Void> kv(String id, HttpServerRequest request, HttpServerResponse response) {
        if (request.method().equals(HttpMethod.PUT)) {
            return Replies.withBody(request, body -> {
                engine.importKv(id, body);
                return Replies.status(response, 200);
            });
        }
        byte[] bytes = engine.exportKv(id);
        if (bytes == null) {
            return Replies.problem(response, 404, "no KV cache of this request");
        }
        return response.send(Mono.just(Unpooled.wrappedBuffer(bytes)));
    }

    private Publisher<Void> complete(HttpServerRequest request, JsonNode body, HttpServerResponse response) {
        FaultSwitch faults = engine.faults();
        if (faults.on(Fault.Kind.LEAVING)) {
            response.header("X-Leaving", "true");
            return Replies.problem(response, 503, "the engine is leaving");
        }
        if (faults.on(Fault.Kind.REFUSE)) {
            return Replies.problem(response, 503, "the engine refuses");
        }
        String model = body.path("model").asText("");
        if (!engine.orders().serves(model)) {
            return Replies.problem(response, 503, "the model is not loaded");
        }
        String prompt = ExpectedAnswer.prompt(body.path("messages"));
        int tokens = body.path(RESUME).path("tokens").asInt(0);
        String answered = body.path(RESUME).path("text").asText("");
        if (!answered.equals(ExpectedAnswer.text(prompt, tokens))) {
            return Replies.problem(response, 400, "resume.text is not the first resume.tokens tokens of this answer");
        }
        String id = Replies.requestId(request);
        Sequence.Resume resume = new Sequence.Resume(tokens, tokens > 0 && engine.covers(id, prompt, tokens));
        EngineStream stream = new EngineStream(id, model, body.path("stream").asBoolean(false));
        Sequence sequence = new Sequence(
                id,
                prompt,
                body.path("priority").asInt(0),
                resume,
                body.path("max_tokens").asInt(0),
                stream);
        if (!engine.offer(sequence)) {
            response.header("Retry-After", "1");
            return Replies.problem(response, 429, "the engine is full");
        }
        return send(request, response, sequence, stream);
    }

    private Publisher<Void> send(
            HttpServerRequest request, HttpServerResponse response, Sequence sequence, EngineStream stream) {
        Channel[] channel = new Channel[1];
        request.withConnection(connection -> channel[0] = connection.channel());
        GenericFutureListener<Future<Void>> closed = done -> engine.cancel(sequence);
        channel[0].closeFuture().addListener(closed);
        Flux<byte[]> bytes = stream.bytes().doFinally(end -> {
            channel[0].closeFuture().removeListener(closed);
            engine.cancel(sequence);
        });
        response.status(200).header("Content-Type", stream.contentType()).header("Cache-Control", "no-cache");
        return response.send(bytes.map(Unpooled::wrappedBuffer), each -> true);
    }
}
