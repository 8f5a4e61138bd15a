package org.dotterelcourse.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** The body of one answer: server-sent events, or one JSON object when the caller wants no stream. */
final class EngineStream implements Sequence.Sink {
    private static final String CHOICES = "choices";
    private static final String INDEX = "index";
    private static final String FINISH_REASON = "finish_reason";

    private final Sinks.Many<byte[]> sink = Sinks.many().unicast().onBackpressureBuffer();
    private final String id;
    private final String model;
    private final boolean streamed;
    private final StringBuilder whole = new StringBuilder();

    EngineStream(String id, String model, boolean streamed) {
        this.id = id;
        this.model = model;
        this.streamed = streamed;
    }

    Flux<byte[]> bytes() {
        return sink.asFlux();
    }

    String contentType() {
        return streamed ? "text/event-stream" : "application/json";
    }

    @Override
    public void token(String text) {
        if (!streamed) {
            whole.append(text);
            return;
        }
        ObjectNode chunk = head("chat.completion.chunk");
        ObjectNode choice = chunk.putArray(CHOICES).addObject().put(INDEX, 0);
        choice.putObject("delta").put("content", text);
        choice.putNull(FINISH_REASON);
        event(chunk);
    }

    @Override
    public void finished(Sequence sequence) {
        ObjectNode last = head(streamed ? "chat.completion.chunk" : "chat.completion");
        ObjectNode choice = last.putArray(CHOICES).addObject().put(INDEX, 0);
        if (streamed) {
            choice.putObject("delta");
        } else {
            choice.putObject("message").put("role", "assistant").put("content", whole.toString());
        }
        choice.put(FINISH_REASON, sequence.truncated() ? "length" : "stop");
        last.putObject("usage")
                .put("prompt_tokens", sequence.promptTokens)
                .put("completion_tokens", sequence.lastToken)
                .put("total_tokens", sequence.promptTokens + sequence.lastToken);
        if (streamed) {
            event(last);
            sink.tryEmitNext(Json.utf8("data: [DONE]\n\n"));
        } else {
            sink.tryEmitNext(Json.utf8(Json.text(last)));
        }
        sink.tryEmitComplete();
    }

    @Override
    public void lost() {
        sink.tryEmitComplete();
    }

    private ObjectNode head(String object) {
        return Json.object().put("id", id).put("object", object).put("model", model);
    }

    private void event(ObjectNode chunk) {
        sink.tryEmitNext(Json.utf8("data: " + Json.text(chunk) + "\n\n"));
    }
}
