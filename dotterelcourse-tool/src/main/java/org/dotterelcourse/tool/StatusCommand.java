package org.dotterelcourse.tool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import io.netty.handler.codec.http.HttpMethod;

/** Shows whether daemons are up and ready, and which configuration each has in force. */
@Command(name = "status", description = "Show whether daemons are up and ready, and which configuration is in force")
public final class StatusCommand extends DaemonCommand {
    private static final String READY = "/ready";
    private static final String CONFIGURATION = "/configuration";
    private static final String NUMBER = "number";
    private static final String DIGEST = "digest";
    private static final int SHOWN_OF_DIGEST = 12;
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    ExitCode ask(Console console) {
        ExitCode code = ExitCode.OK;
        List<ObjectNode> states = new ArrayList<>();
        for (String daemon : daemons()) {
            DaemonAnswer ready = call(HttpMethod.GET, daemon, READY);
            DaemonAnswer configuration = call(HttpMethod.GET, daemon, CONFIGURATION);
            if (ready instanceof DaemonAnswer.Answered readiness
                    && configuration instanceof DaemonAnswer.Answered answered
                    && answered.successful()) {
                states.add(state(daemon, readiness, answered));
            } else {
                DaemonAnswer worse = ready instanceof DaemonAnswer.Unreachable ? ready : configuration;
                code = code.graver(complain(console, daemon, CONFIGURATION, worse));
            }
        }
        if (json()) {
            ArrayNode results = Report.array();
            states.forEach(results::add);
            Report.print(console, results);
        } else if (!states.isEmpty()) {
            printTable(console, states);
        }
        return code.graver(compareDigests(console, states));
    }

    private static ObjectNode state(String daemon, DaemonAnswer.Answered ready, DaemonAnswer.Answered configuration) {
        ObjectNode state = Report.object().put("daemon", daemon).put("ready", ready.successful());
        state.put("state", ready.body().strip());
        try {
            state.set("configuration", JSON.readTree(configuration.body()));
        } catch (JsonProcessingException e) {
            state.set("configuration", Report.object());
        }
        return state;
    }

    private static void printTable(Console console, List<ObjectNode> states) {
        TextTable table = new TextTable(List.of("DAEMON", "NAME", "STATE", "NUMBER", "DIGEST", "IN FLIGHT"));
        for (ObjectNode state : states) {
            JsonNode configuration = state.get("configuration");
            String digest = configuration.path(DIGEST).asText("-");
            table.row(List.of(
                    state.get("daemon").asText(),
                    configuration.path("daemon").asText("-"),
                    state.get("state").asText(),
                    configuration.path(NUMBER).asText("-"),
                    digest.substring(0, Math.min(SHOWN_OF_DIGEST, digest.length())),
                    configuration.path("inFlight").asText("-")));
        }
        table.print(console);
    }

    /** Daemons that read different content under one number would decide differently while all look up to date. */
    private static ExitCode compareDigests(Console console, List<ObjectNode> states) {
        Map<String, String> digests = new HashMap<>();
        ExitCode code = ExitCode.OK;
        for (ObjectNode state : states) {
            JsonNode configuration = state.get("configuration");
            if (!configuration.has(DIGEST)) {
                continue;
            }
            String number = configuration.path(NUMBER).asText();
            String digest = configuration.path(DIGEST).asText();
            String other = digests.putIfAbsent(number, digest);
            if (other != null && !other.equals(digest)) {
                console.err().println("ALARM: number " + number + " has different digests: " + other + ", " + digest);
                code = ExitCode.FINDINGS;
            }
        }
        return code;
    }
}
