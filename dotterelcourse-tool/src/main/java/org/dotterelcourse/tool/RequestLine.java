package org.dotterelcourse.tool;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What a router's log says of one request that has ended.
 *
 * @param second the second of its end, as the line's timestamp says, without the fraction
 * @param route its route, empty if it was refused before it had one
 * @param customer whose it was, empty if nobody's
 * @param worker the last worker that had it, empty if none
 * @param status the answer's status, 0 if there was none
 * @param reason why, empty if nothing went wrong
 * @param millis time from its arrival to its end
 * @param firstEventMillis time to the first event, -1 if it was no stream
 * @param longestPauseMillis the longest time between two events, 0 if it was no stream
 */
record RequestLine(
        String second,
        String route,
        String customer,
        String worker,
        int status,
        String reason,
        long millis,
        long firstEventMillis,
        long longestPauseMillis) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MESSAGE = "request ended";
    private static final int SECONDS_END = "2026-01-01T00:00:00".length();

    /**
     * Reads a line, with anything before its JSON object: whoever gathers logs puts the VM's name there.
     *
     * @param line the line
     * @return empty if it is not about a request that has ended
     * @throws JsonProcessingException if it claims to be, but can't be read
     */
    static Optional<RequestLine> parse(String line) throws JsonProcessingException {
        int object = line.indexOf('{');
        if (object < 0 || !line.contains(MESSAGE)) {
            return Optional.empty();
        }
        JsonNode node = JSON.readTree(line.substring(object));
        if (!node.path("message").asText().equals(MESSAGE)) {
            return Optional.empty();
        }
        JsonNode details = node.path("mdc");
        String timestamp = node.path("timestamp").asText();
        return Optional.of(new RequestLine(
                timestamp.substring(0, Math.min(SECONDS_END, timestamp.length())),
                details.path("route").asText(),
                details.path("customer").asText(),
                details.path("worker").asText(),
                details.path("status").asInt(),
                details.path("reason").asText(),
                details.path("millis").asLong(),
                details.path("firstEventMillis").asLong(-1),
                details.path("longestPauseMillis").asLong()));
    }
}
