package org.dotterelcourse.tool;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "stauts | unknown command stauts (nearest: status)",
                "ptach check f | unknown command ptach (nearest: patch)",
                "patch preveiw f | unknown command patch preveiw (nearest: preview)",
                "config check --jsno f | unknown option --jsno (nearest: --json)",
                "status --deamon 127.0.0.1:1 | unknown option --deamon (nearest: --daemon)",
                "patch | expected a command, one of status",
                "config check | FILE",
                "patch check f --base g | --number",
                "patch check f --base g --number one | one",
                "config check f g | At most 1",
                "status | --daemon",
                "status --daemon localhost:9090 | expected an IP number and port, as in 127.0.0.1:9090, found localhost:9090",
                "settings check no-such-file.ini | no such file: no-such-file.ini",
                "settings check . | can't read .",
            })
    void aWrongCallSaysWhatWasMeantAndEndsWithTwo(String call, String message) {
        ToolRun run = ToolRun.of(call.split(" "));

        assertThat(run.code()).isEqualTo(ExitCode.WRONG_CALL);
        assertThat(run.err()).contains(message);
        assertThat(run.out()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "settings check",
                "config check",
                "patch check",
                "patch preview",
                "patch apply",
                "status",
                "members",
                "owners",
                "classes",
                "audit",
                "drain",
                "load",
                "version"
            })
    void everyCommandExplainsItself(String command) {
        ToolRun run = ToolRun.of((command + " --help").trim().split(" "));

        assertThat(run.code()).isEqualTo(ExitCode.OK);
        assertThat(run.out()).contains(("dotterelctl " + command).trim()).doesNotContain("null");
        assertThat(run.err()).isEmpty();
    }

    @Test
    void helpForAnUnknownCommandIsAWrongCall() {
        assertThat(ToolRun.of("patch", "chek", "--help").code()).isEqualTo(ExitCode.WRONG_CALL);
    }

    @Test
    void theVersionIsThatOfTheBuild() throws Exception {
        assertThat(ToolRun.of("version").out()).matches("dotterelctl [0-9]+\\.[0-9]+\\.[0-9]+\\S*\\s+");
        assertThat(ToolRun.of("version", "--json").json().get("name").asText()).isEqualTo("dotterelctl");
    }
}
