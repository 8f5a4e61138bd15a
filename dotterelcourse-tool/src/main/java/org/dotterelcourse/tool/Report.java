package org.dotterelcourse.tool;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.configuration.Finding;

/** Prints results as JSON, and findings in either form. */
final class Report {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Report() {}

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static ArrayNode array() {
        return JSON.createArrayNode();
    }

    static void print(Console console, JsonNode value) {
        try {
            console.out().println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON can always be written", e);
        }
    }

    /**
     * Prints what is wrong with a text.
     *
     * @param console where to print
     * @param json whether to print JSON
     * @param file the text's file
     * @param findings what is wrong, not empty
     * @return the exit code for it
     */
    static ExitCode findings(Console console, boolean json, String file, List<Finding> findings) {
        if (json) {
            ObjectNode result = object().put("file", file).put("valid", false);
            ArrayNode list = result.putArray("findings");
            findings.forEach(each -> list.add(object().put("file", each.file())
                    .put("section", each.section())
                    .put("key", each.key())
                    .put("expected", each.expected())
                    .put("found", each.found())));
            print(console, result);
        } else {
            findings.forEach(console.out()::println);
            console.out().println(file + ": " + findings.size() + (findings.size() == 1 ? " finding" : " findings"));
        }
        return ExitCode.FINDINGS;
    }
}
