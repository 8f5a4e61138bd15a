package org.dotterelcourse.standins;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One class of a load: what its callers send and what they were promised.
 *
 * @param name the request class's name
 * @param service the plain service's upstream, empty for chat completions
 * @param path the path at the plain service, without a slash in front
 * @param keys the bearer keys of the customers that call, used in turn at random
 * @param weight its share of the arrivals, in relation to the other classes' weights
 * @param targetMillis the target: first token of a streamed answer, else the whole call
 * @param tokenIntervalMillis the target for the 95th percentile between tokens of a streamed answer, 0 for none
 * @param idempotent whether a request may run more than once
 * @param tickets whether callers mint a ticket for each request and repeat it elsewhere when its connection breaks
 * @param streamed whether chat completions are streamed
 * @param leastTokens the shortest answer, in tokens
 * @param mostTokens the longest answer, in tokens
 * @param promptCharacters the length of a prompt
 * @param sharedCharacters how much of the prompt is the same for all of the class
 */
public record LoadClass(
        String name,
        String service,
        String path,
        List<String> keys,
        double weight,
        long targetMillis,
        long tokenIntervalMillis,
        boolean idempotent,
        boolean tickets,
        boolean streamed,
        int leastTokens,
        int mostTokens,
        int promptCharacters,
        int sharedCharacters) {

    boolean plain() {
        return !service.isEmpty();
    }

    static LoadClass parse(JsonNode node) {
        List<String> keys = new ArrayList<>();
        node.path("keys").forEach(each -> keys.add(each.asText()));
        LoadClass parsed = new LoadClass(
                node.path("name").asText(),
                node.path("service").asText(""),
                node.path("path").asText("call"),
                List.copyOf(keys),
                node.path("weight").asDouble(1),
                node.path("targetMillis").asLong(1_000),
                node.path("tokenIntervalMillis").asLong(0),
                node.path("idempotent").asBoolean(true),
                node.path("tickets").asBoolean(false),
                node.path("stream").asBoolean(true),
                node.path("leastTokens").asInt(16),
                node.path("mostTokens").asInt(128),
                node.path("promptCharacters").asInt(400),
                node.path("sharedCharacters").asInt(200));
        parsed.check();
        return parsed;
    }

    private void check() {
        if (name.isEmpty() || keys.isEmpty()) {
            throw new IllegalArgumentException("a class of the load needs name and keys: " + this);
        }
        if (weight <= 0 || leastTokens < 1 || mostTokens < leastTokens) {
            throw new IllegalArgumentException("weight and leastTokens must be above 0, mostTokens no less: " + this);
        }
    }
}
