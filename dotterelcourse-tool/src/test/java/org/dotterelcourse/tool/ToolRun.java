package org.dotterelcourse.tool;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * One run of the tool in the test's process.
 *
 * @param code how it ended
 * @param out what it printed
 * @param err what it printed to standard error
 */
record ToolRun(ExitCode code, String out, String err) {
    static ToolRun of(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        ExitCode code = new CommandLine(console).run(args);
        return new ToolRun(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    JsonNode json() throws JsonProcessingException {
        return new ObjectMapper().readTree(out);
    }
}
