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

/** Parses and validates the JSON of a chat completion and estimates the token count of its prompt. */
final class ChatRequestParser {
    /**
     * English and Dutch text has close to four characters per token. Estimates are corrected by the token counts that
     * engines report.
     */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Length of the prompt prefix that is hashed. Prompts with the same first 1024 characters share the part that is
     * worth caching, the instructions of a class.
     */
    private static final int PREFIX_CHARACTERS = 1024;

    private final ObjectMapper json = new ObjectMapper();

    /**
     * Parses and validates a request.
     *
     * @param id the request's id
     * @param customer the customer's name
     * @param requestClass the request's class
     * @param body the request body
     * @param arrivalNanos monotonic time in nanoseconds at which the request arrived
     * @return the call to dispatch, or the failure if the body is malformed or asks for a model that the class
     *     doesn't serve
     */
    Parsed<ChatCall> parse(String id, String customer, RequestClass requestClass, byte[] body, long arrivalNanos) {
        JsonNode root;
        try {
            root = json.readTree(body);
        } catch (IOException e) {
            return malformed("the body is not JSON");
        }
        if (!(root instanceof ObjectNode chatRequest)) {
            return malformed("the body is not a JSON object");
        }
        String prompt = concatenateMessages(chatRequest.path("messages"));
        if (prompt == null) {
            return malformed("messages must be a list of objects with role and content, and not empty");
        }
        JsonNode requestedMaxTokens = chatRequest.path("max_tokens");
        if (!requestedMaxTokens.isMissingNode()
                && !(requestedMaxTokens.canConvertToInt() && requestedMaxTokens.asInt() > 0)) {
            return malformed("max_tokens must be a whole number above 0");
        }
        String model = chatRequest.path("model").asText(requestClass.model());
        if (!model.equals(requestClass.model())) {
            return Parsed.invalid(
                    Failure.notRun(Failure.NOT_FOUND, "unknown model", "the class does not serve the model " + model)
                            .known(List.of(requestClass.model())));
        }
        int maxTokens =
                Math.min(requestedMaxTokens.asInt(requestClass.maxOutputTokens()), requestClass.maxOutputTokens());
        return Parsed.valid(new ChatCall(
                id,
                customer,
                requestClass,
                chatRequest,
                maxTokens,
                prompt.length() / CHARACTERS_PER_TOKEN + 1,
                prefixFingerprint(prompt),
                arrivalNanos));
    }

    private static Parsed<ChatCall> malformed(String detail) {
        return Parsed.invalid(Failure.notRun(Failure.BAD_REQUEST, "malformed", detail));
    }

    /** Concatenates roles and texts of the messages; returns null if the list is empty or a message is malformed. */
    private static String concatenateMessages(JsonNode messages) {
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

    private static long prefixFingerprint(String prompt) {
        String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
        return Hashing.komihash5_0().hashCharsToLong(prefix);
    }
}
