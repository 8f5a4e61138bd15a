package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.daemon.dispatch.AnswerEvent;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.http.ProblemDetails;

/** Encodes answers as chat completions in the common JSON format, as server-sent events or as one JSON object. */
final class ChatResponseEncoder {
    /** A comment line of the event stream; keeps proxies between caller and daemon from closing an idle connection. */
    static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String id;
    private final String model;

    ChatResponseEncoder(ChatCall call) {
        this.id = call.id();
        this.model = call.requestClass().model();
    }

    /**
     * Encodes one event of a streamed answer.
     *
     * @param event the event from the dispatcher
     * @return the server-sent events in UTF-8; at the end of a successful answer, the second is {@code [DONE]}
     */
    byte[] encodeEvent(AnswerEvent event) {
        String text;
        if (event instanceof AnswerEvent.Piece piece) {
            text = dataEvent(newChunk(piece.text(), null).toString());
        } else if (event instanceof AnswerEvent.Finished finished) {
            ObjectNode lastChunk = newChunk("", finished.reason());
            putUsage(lastChunk, finished);
            text = dataEvent(lastChunk.toString()) + dataEvent("[DONE]");
        } else {
            AnswerEvent.Failed failed = (AnswerEvent.Failed) event;
            text = "event: error\n" + dataEvent(ProblemDetails.json(failed.failure(), id));
        }
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Encodes an answer that isn't streamed.
     *
     * @param content the full text of the answer
     * @param finished the end of the answer, with finish reason and token counts
     * @return a JSON object in UTF-8
     */
    byte[] encodeWhole(String content, AnswerEvent.Finished finished) {
        ObjectNode response = newResponse("chat.completion");
        ObjectNode choice = response.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", content);
        choice.put("finish_reason", finished.reason());
        putUsage(response, finished);
        return response.toString().getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode newChunk(String text, String finishReason) {
        ObjectNode chunk = newResponse("chat.completion.chunk");
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (!text.isEmpty()) {
            delta.put("content", text);
        }
        choice.put("finish_reason", finishReason);
        return chunk;
    }

    private ObjectNode newResponse(String object) {
        return JSON.createObjectNode().put("id", id).put("object", object).put("model", model);
    }

    private static void putUsage(ObjectNode response, AnswerEvent.Finished finished) {
        response.putObject("usage")
                .put("prompt_tokens", finished.promptTokens())
                .put("completion_tokens", finished.completionTokens())
                .put("total_tokens", finished.promptTokens() + finished.completionTokens());
    }

    private static String dataEvent(String json) {
        return "data: " + json + "\n\n";
    }
}
