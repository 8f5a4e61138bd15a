package org.dotterelcourse.tool;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LoadCommandTest {
    private static final String LOAD = """
            {"daemons": ["127.0.0.1:%d"], "seconds": 0.2, "ratePerSecond": 20, "drainSeconds": 5,
             "classes": [{"name": "chat", "keys": ["k"]}]}
            """;

    @TempDir
    private Path directory;

    /**
     * Nothing listens at the address in the load's file. No promise was broken, because nothing was ever answered; a
     * script that looks only at the exit code must not take that for a good run.
     */
    @Test
    void aLoadThatNobodyAnswersIsNoSuccess() throws Exception {
        int unused = 1;

        ToolRun run = ToolRun.of("load", file(LOAD.formatted(unused)), "--json");

        assertThat(run.code()).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(run.json().get("classes").get(0).get("sent").asInt()).isPositive();
        assertThat(run.err()).contains("no request was answered");
    }

    @ParameterizedTest
    @ValueSource(strings = {"no JSON", "{}", "{\"daemons\": [\"192.0.2.1:80\"]}"})
    void aLoadThatCannotBeRunIsAWrongCall(String text) throws Exception {
        ToolRun run = ToolRun.of("load", file(text));

        assertThat(run.code()).isEqualTo(ExitCode.WRONG_CALL);
        assertThat(run.err()).contains("load.json: ");
    }

    private String file(String text) throws Exception {
        return Files.writeString(directory.resolve("load.json"), text).toString();
    }
}
