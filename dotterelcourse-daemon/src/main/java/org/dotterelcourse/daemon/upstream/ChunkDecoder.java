package org.dotterelcourse.daemon.upstream;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Converts the data of the server-sent events of a streamed chat completion into {@link EngineEvent}s. */
final class ChunkDecoder {
    private static final String END_MARKER = "[DONE]";

    private final ObjectMapper json;
    private String finishReason = "";
    private int promptTokens;
    private int completionTokens;

    ChunkDecoder(ObjectMapper json) {
        this.json = json;
    }

    /**
     * Decodes the data of one server-sent event.
     *
     * @param data a chat completion chunk as JSON, or {@code [DONE]} at the end of the stream
     * @return the engine events in stream order; empty if the chunk carries no text, and a single {@link
     *     EngineEvent.Failed} if the data is not JSON
     */
    List<EngineEvent> decode(String data) {
        if (data.equals(END_MARKER)) {
            return List.of(endOfStream());
        }
        try {
            return decodeChunk(json.readTree(data));
        } catch (JsonProcessingException e) {
            return List.of(brokenStream("an event of the answer is not JSON"));
        }
    }

    private List<EngineEvent> decodeChunk(JsonNode chunk) {
        List<EngineEvent> events = new ArrayList<>();
        JsonNode choice = chunk.path("choices").path(0);
        String text = choice.path("delta").path("content").asText("");
        if (!text.isEmpty()) {
            events.add(new EngineEvent.Piece(text));
        }
        finishReason = choice.path("finish_reason").asText(finishReason);
        JsonNode usage = chunk.path("usage");
        promptTokens = usage.path("prompt_tokens").asInt(promptTokens);
        completionTokens = usage.path("completion_tokens").asInt(completionTokens);
        return events;
    }

    private EngineEvent endOfStream() {
        // An end marker without a finish reason means that the answer was truncated; it must not count as complete.
        if (finishReason.isEmpty() || finishReason.equals("null")) {
            return brokenStream("the answer ended without a reason");
        }
        return new EngineEvent.Finished(finishReason, promptTokens, completionTokens);
    }

    private static EngineEvent brokenStream(String detail) {
        return new EngineEvent.Failed(new UpstreamFailure(UpstreamFailure.Kind.BROKEN, detail));
    }
}
