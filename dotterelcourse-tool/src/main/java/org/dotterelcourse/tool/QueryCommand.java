package org.dotterelcourse.tool;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.handler.codec.http.HttpMethod;

/** Prints one path's answer of each daemon. */
abstract class QueryCommand extends DaemonCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * What is asked for.
     *
     * @return the path with its query
     */
    abstract String path();

    @Override
    ExitCode ask(Console console) {
        ExitCode code = ExitCode.OK;
        ArrayNode results = Report.array();
        for (String daemon : daemons()) {
            DaemonAnswer answer = call(HttpMethod.GET, daemon, path());
            Optional<JsonNode> tree = tree(answer);
            if (tree.isEmpty()) {
                code = code.graver(complain(console, daemon, path(), answer));
            } else if (json()) {
                results.add(Report.object().put("daemon", daemon).set("answer", tree.get()));
            } else {
                printForPeople(console, daemon, tree.get());
            }
        }
        if (json()) {
            Report.print(console, results);
        }
        return code;
    }

    private void printForPeople(Console console, String daemon, JsonNode tree) {
        if (daemons().size() > 1) {
            console.out().println("daemon " + daemon);
        }
        new JsonView(console).print(tree);
    }

    private static Optional<JsonNode> tree(DaemonAnswer answer) {
        if (!(answer instanceof DaemonAnswer.Answered answered) || !answered.successful()) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readTree(answered.body())).filter(tree -> !tree.isMissingNode());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
