package org.dotterelcourse.tool;

import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class CheckCommandsTest {
    private static final String EXAMPLES = Path.of("..", "examples", "sabla").toString();
    private static final String DOCUMENT = EXAMPLES + "/configuration.ini";
    private static final String PATCH = EXAMPLES + "/patch.ini";

    @TempDir
    private Path directory;

    @Test
    void aRightDocumentIsSummedUp() throws Exception {
        ToolRun run = ToolRun.of("config", "check", DOCUMENT);

        assertThat(run.code()).isEqualTo(ExitCode.OK);
        assertThat(run.out()).contains("right", "10 customers", "16 workers");
        assertThat(ToolRun.of("config", "check", DOCUMENT, "--json")
                        .json()
                        .get("digest")
                        .asText())
                .hasSize(64);
    }

    @Test
    void aWrongDocumentEndsWithOneAndAllItsFindings() throws Exception {
        String text = Files.readString(Path.of(DOCUMENT));
        Path wrong =
                Files.writeString(directory.resolve("w.ini"), text.replace("tier = 4", "tier = 5") + "[wroker a]\n");

        ToolRun people = ToolRun.of("config", "check", wrong.toString());
        JsonNode machine =
                ToolRun.of("config", "check", wrong.toString(), "--json").json();

        assertThat(people.code()).isEqualTo(ExitCode.FINDINGS);
        assertThat(people.out())
                .contains("w.ini [class prospectus-summary] tier: expected a whole number from 1 to 4, found 5")
                .contains("[wroker a]", "(nearest: worker)");
        assertThat(machine.get("valid").asBoolean()).isFalse();
        assertThat(machine.get("findings")).hasSize(2);
        assertThat(machine.get("findings").get(0).get("key").asText()).isEqualTo("tier");
    }

    /**
     * A document has grown beyond what the configuration service holds in one value. The service would refuse it only
     * when it is published, in the middle of a change.
     */
    @Test
    void aDocumentThatTheServiceCannotHoldIsAFinding() throws Exception {
        String text = Files.readString(Path.of(DOCUMENT)) + "; filler\n".repeat(120_000);
        Path large = Files.writeString(directory.resolve("large.ini"), text);

        ToolRun run = ToolRun.of("config", "check", large.toString());

        assertThat(run.code()).isEqualTo(ExitCode.FINDINGS);
        assertThat(run.out()).contains("expected at most 1048576 bytes").contains("1 finding");
    }

    @Test
    void aPatchIsCheckedAgainstTheNumberInForce() {
        ToolRun right = ToolRun.of("patch", "check", PATCH, "--base", DOCUMENT, "--number", "1");
        ToolRun late = ToolRun.of("patch", "check", PATCH, "--base", DOCUMENT, "--number", "7");

        assertThat(right.code()).isEqualTo(ExitCode.OK);
        assertThat(right.out()).contains("Number 2");
        assertThat(late.code()).isEqualTo(ExitCode.FINDINGS);
        assertThat(late.out()).contains("[patch] base: expected 7, found 1");
    }

    @Test
    void aPreviewShowsEachKeyBeforeAndAfter() throws Exception {
        ToolRun people = ToolRun.of("patch", "preview", PATCH, "--base", DOCUMENT);
        JsonNode machine = ToolRun.of("patch", "preview", PATCH, "--base", DOCUMENT, "--json")
                .json();

        assertThat(people.out()).containsPattern("class teller-eligibility +target-ms +800 +600");
        assertThat(machine.get("changes")).hasSize(3);
        assertThat(machine.get("changes").get(0).get("section").asText()).startsWith("class ");
    }

    @Test
    void findingsOfAPatchesHeaderAndOfItsChangesComeTogether() throws Exception {
        Path patch = Files.writeString(directory.resolve("p.ini"), "[patch]\nbase = 1\n[set class payout]\ntier = 7\n");

        for (String command : new String[] {"check", "preview", "apply"}) {
            String number = command.equals("check") ? "--number=1" : "--json";
            ToolRun run = ToolRun.of("patch", command, patch.toString(), "--base", DOCUMENT, number);

            assertThat(run.code()).isEqualTo(ExitCode.FINDINGS);
            assertThat(run.out()).contains("author", "reason", "tier");
        }
    }

    @Test
    void anAppliedPatchGivesADocumentWithTheDigestThatWasForetold() throws Exception {
        ToolRun foretold = ToolRun.of("patch", "check", PATCH, "--base", DOCUMENT, "--number", "1", "--json");
        Path result = Files.writeString(
                directory.resolve("r.ini"),
                ToolRun.of("patch", "apply", PATCH, "--base", DOCUMENT).out());

        ToolRun run = ToolRun.of("config", "check", result.toString(), "--number", "2", "--json");

        assertThat(run.code()).isEqualTo(ExitCode.OK);
        assertThat(run.json().get("digest")).isEqualTo(foretold.json().get("digest"));
    }

    /** A preview is pasted into a chat. From the whole sum of a short key, the key itself could be found by guessing. */
    @Test
    void aPreviewDoesNotShowTheWholeSumOfAKey() throws Exception {
        String sum = "0123456789abcdef".repeat(4);
        String text = "[patch]\nbase = 1\nauthor = a\nreason = r\n[set customer bank-1]\nkey-sha256 = " + sum + "\n";
        Path patch = Files.writeString(directory.resolve("key.ini"), text);

        ToolRun run = ToolRun.of("patch", "preview", patch.toString(), "--base", DOCUMENT);

        assertThat(run.out()).contains("01234567...").doesNotContain(sum);
    }

    @Test
    void daemonSettingsAreChecked() throws Exception {
        Path wrong = Files.writeString(directory.resolve("d.ini"), "[daemon]\nname = a b\n");

        assertThat(ToolRun.of("settings", "check", EXAMPLES + "/daemon.ini").out())
                .contains("right", "ruwi-hall");
        assertThat(ToolRun.of("settings", "check", wrong.toString(), "--json")
                        .json()
                        .get("findings"))
                .hasSize(6);
    }
}
