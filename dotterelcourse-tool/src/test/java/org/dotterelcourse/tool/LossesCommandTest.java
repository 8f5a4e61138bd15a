package org.dotterelcourse.tool;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LossesCommandTest {
    @TempDir
    private Path directory;

    @Test
    void requestsAreCountedByWhatTheyWereLostTo() throws Exception {
        String log = log(
                line("chat", "200", "", 900, 250, 100),
                line("chat", "200", "", 900, 400, 100),
                line("chat", "200", "", 900, 250, 300),
                line("chat", "503", "the engines are too full for an answer in time", 10, 0, 0),
                line("chat", "200", "broken: Connection reset", 900, 250, 100),
                line("chat", "200", "client gone", 900, 250, 100),
                "a line of something else",
                "{\"message\":\"audit request ended\"}");

        ToolRun run = ToolRun.of("losses", "--target", "chat=300:200", log);

        assertThat(run.code()).isEqualTo(ExitCode.OK);
        assertThat(run.out().lines())
                .containsExactly("route,requests,on_time,late,paused,refused,failed,left", "chat,6,1,1,1,1,1,1");
    }

    // Whoever gathers logs puts the VM's name before each line. Without targets, what is whole is on time.
    @Test
    void linesMayBeginWithTheNameOfTheirVm() throws Exception {
        String log = log("  0.12 edge-1 " + line("chat", "200", "", 900, 5_000, 100));

        assertThat(ToolRun.of("losses", "--by", "worker", log).out()).contains("w-1,1,1,0,0,0,0,0");
        assertThat(ToolRun.of("losses", "--by", "second", log).out()).contains("2026-12-03T01:00:07,1,1,");
    }

    // A log was cut in the middle of a line. The rest counts, and nobody takes the sum for all there was.
    @Test
    void aLineThatIsCutIsToldOf() throws Exception {
        String whole = line("chat", "200", "", 900, 250, 100);
        String log = log(whole, whole.substring(0, whole.length() - 9));

        ToolRun run = ToolRun.of("losses", log);

        assertThat(run.code()).isEqualTo(ExitCode.FINDINGS);
        assertThat(run.out()).contains("chat,1,1,");
        assertThat(run.err()).contains("1 lines about requests can't be read");
    }

    @ParameterizedTest
    @ValueSource(strings = {"chat", "=300", "chat=x", "chat=1:2:3", "chat=1:"})
    void aTargetThatCannotBeReadIsAWrongCall(String target) throws Exception {
        ToolRun run = ToolRun.of("losses", "--target", target, log(""));

        assertThat(run.code()).isEqualTo(ExitCode.WRONG_CALL);
        assertThat(run.err()).contains("--target " + target);
    }

    private String log(String... lines) throws Exception {
        return Files.write(directory.resolve("router.log"), List.of(lines)).toString();
    }

    private static String line(String route, String status, String reason, long millis, long first, long pause) {
        return "{\"timestamp\":\"2026-12-03T01:00:07.123Z\",\"message\":\"request ended\",\"mdc\":{\"route\":\"" + route
                + "\",\"customer\":\"c\",\"worker\":\"w-1\",\"status\":\"" + status + "\",\"reason\":\"" + reason
                + "\",\"millis\":\"" + millis + "\",\"firstEventMillis\":\"" + first + "\",\"longestPauseMillis\":\""
                + pause
                + "\"}}";
    }
}
