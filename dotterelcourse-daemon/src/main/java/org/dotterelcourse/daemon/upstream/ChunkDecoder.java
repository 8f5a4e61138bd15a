package org.dotterelcourse.daemon.upstream;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Turns the data of a chat completion's server-sent events into engine events. */
final class ChunkDecoder {
    private static final String DONE = "[DONE]";

    private final ObjectMapper json;
    private String finishReason = "";
    private int promptTokens;
    private int completionTokens;

    ChunkDecoder(ObjectMapper json) {
        this.json = json;
    }

    /**
     * Takes the data of one event.
     *
     * @param data JSON, or the mark of the end
     * @return what it means, in order
     */
    List<EngineEvent> decode(String data) {
        if (data.equals(DONE)) {
            return List.of(end());
        }
        try {
            return chunk(json.readTree(data));
        } catch (JsonProcessingException e) {
            return List.of(failed("an event of the answer is not JSON"));
        }
    }

    private List<EngineEvent> chunk(JsonNode chunk) {
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

    private EngineEvent end() {
        // A mark of the end without a reason would pass off an answer that was cut as a whole one.
        if (finishReason.isEmpty() || finishReason.equals("null")) {
            return failed("the answer ended without a reason");
        }
        return new EngineEvent.Finished(finishReason, promptTokens, completionTokens);
    }

    private static EngineEvent failed(String detail) {
        return new EngineEvent.Failed(new UpstreamFailure(UpstreamFailure.Kind.BROKEN, detail));
    }
}
