package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.daemon.dispatch.AnswerEvent;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.http.ProblemDetails;

/** Writes answers in the shape of the usual chat completion, in pieces or whole. */
final class ChatAnswers {
    /** A comment of the event stream: it keeps whatever stands between the two ends from dropping the connection. */
    static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String id;
    private final String model;

    ChatAnswers(ChatCall call) {
        this.id = call.id();
        this.model = call.requestClass().model();
    }

    /** One event of the stream, as server-sent events. */
    byte[] event(AnswerEvent event) {
        String text;
        if (event instanceof AnswerEvent.Piece piece) {
            text = data(chunk(piece.text(), null).toString());
        } else if (event instanceof AnswerEvent.Finished finished) {
            ObjectNode last = chunk("", finished.reason());
            usage(last, finished);
            text = data(last.toString()) + data("[DONE]");
        } else {
            AnswerEvent.Failed failed = (AnswerEvent.Failed) event;
            text = "event: error\n" + data(ProblemDetails.json(failed.failure(), id));
        }
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The whole answer in one. */
    byte[] whole(String content, AnswerEvent.Finished finished) {
        ObjectNode answer = answer("chat.completion");
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", content);
        choice.put("finish_reason", finished.reason());
        usage(answer, finished);
        return answer.toString().getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode chunk(String text, String finishReason) {
        ObjectNode chunk = answer("chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (!text.isEmpty()) {
            delta.put("content", text);
        }
        choice.put("finish_reason", finishReason);
        return chunk;
    }

    private ObjectNode answer(String object) {
        return JSON.createObjectNode().put("id", id).put("object", object).put("model", model);
    }

    private static void usage(ObjectNode answer, AnswerEvent.Finished finished) {
        answer.putObject("usage")
                .put("prompt_tokens", finished.promptTokens())
                .put("completion_tokens", finished.completionTokens())
                .put("total_tokens", finished.promptTokens() + finished.completionTokens());
    }

    private static String data(String json) {
        return "data: " + json + "\n\n";
    }
}
