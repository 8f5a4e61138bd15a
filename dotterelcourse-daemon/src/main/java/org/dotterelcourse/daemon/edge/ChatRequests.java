package org.dotterelcourse.daemon.edge;

import java.io.IOException;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.dispatch.Failure;

/** Reads the JSON of a chat completion, checks it and measures it. */
final class ChatRequests {
    /** English and Dutch text has close to four characters a token; estimates are corrected by what engines report. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Prompts that share their first kilobyte share the part that is worth caching: the instructions of a class. */
    private static final int PREFIX_CHARACTERS = 1024;

    private final ObjectMapper json = new ObjectMapper();

    /**
     * @param id the request's id
     * @param customer the customer's name
     * @param requestClass the request's class
     * @param body the bytes the caller sent
     * @param arrivalNanos when it came
     */
    Parsed<ChatCall> parse(String id, String customer, RequestClass requestClass, byte[] body, long arrivalNanos) {
        JsonNode tree;
        try {
            tree = json.readTree(body);
        } catch (IOException e) {
            return malformed("the body is not JSON");
        }
        if (!(tree instanceof ObjectNode chat)) {
            return malformed("the body is not a JSON object");
        }
        String prompt = prompt(chat.path("messages"));
        if (prompt == null) {
            return malformed("messages must be a list of objects with role and content, and not empty");
        }
        JsonNode asked = chat.path("max_tokens");
        if (!asked.isMissingNode() && !(asked.canConvertToInt() && asked.asInt() > 0)) {
            return malformed("max_tokens must be a whole number above 0");
        }
        String model = chat.path("model").asText(requestClass.model());
        if (!model.equals(requestClass.model())) {
            return Parsed.wrong(
                    Failure.notRun(Failure.NOT_FOUND, "unknown model", "the class does not serve the model " + model)
                            .known(List.of(requestClass.model())));
        }
        int maxTokens = Math.min(asked.asInt(requestClass.maxOutputTokens()), requestClass.maxOutputTokens());
        return Parsed.right(new ChatCall(
                id,
                customer,
                requestClass,
                chat,
                maxTokens,
                prompt.length() / CHARACTERS_PER_TOKEN + 1,
                fingerprint(prompt),
                arrivalNanos));
    }

    private static Parsed<ChatCall> malformed(String detail) {
        return Parsed.wrong(Failure.notRun(Failure.BAD_REQUEST, "malformed", detail));
    }

    /** The messages' text in one, or null if they are not what they should be. */
    private static String prompt(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return null;
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                return null;
            }
            prompt.append(message.path("role").asText()).append('\n');
            prompt.append(message.path("content").asText()).append('\n');
        }
        return prompt.toString();
    }

    private static long fingerprint(String prompt) {
        String start = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
        return Hashing.komihash5_0().hashCharsToLong(start);
    }
}
