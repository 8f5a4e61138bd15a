package org.dotterelcourse.configuration;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PatchTest {
    private static final String HEADER =
            "[patch]\nbase = 1\nauthor = an operator\nreason = 20% more, for May; see [7]\n";

    private final IniConfigurationReader reader = new IniConfigurationReader();

    @Test
    void aPatchChangesOnlyTheKeysThatItContains() {
        Configuration base = Texts.small();

        Configuration result = fold(base, "[set class chat]\ntier = 3\n[set worker llm-1]\nleaving = true\n");

        assertThat(ConfigurationDifference.between(base, result))
                .containsExactly(
                        new Change("class chat", "tier", "2", "3"),
                        new Change("worker llm-1", "leaving", "false", "true"));
        assertThat(result.number()).isEqualTo(2);
        assertThat(result.customers()).isEqualTo(base.customers());
    }

    @Test
    void aPatchAddsAndRemovesSections() {
        Configuration base = Texts.small();
        String worker = "upstream = llm\naddress = [fd00::1]:9101\ndata-centre = hall\n";

        Configuration result = fold(base, "[set worker llm-2]\n" + worker + "[remove worker llm-1]\n");

        assertThat(result.upstream("llm").orElseThrow().workers())
                .containsExactly(new Worker("llm-2", "[fd00::1]:9101", "hall"));
    }

    @Test
    void anEmptyValueRemovesAKey() {
        String change =
                "[set class chat]\nupstream = api\nmodel =\nversion =\ntoken-interval-ms =\nmax-output-tokens =\n";

        RequestClass chat = fold(Texts.small(), change).requestClass("chat").orElseThrow();

        assertThat(chat.model()).isEmpty();
        assertThat(chat.maxOutputTokens()).isEqualTo(1);
    }

    @Test
    void theHeaderContainsTheBaseTheAuthorAndTheReason() {
        Checked<PatchHeader> header = reader.header("p.ini", HEADER + "[remove class chat]\n");

        assertThat(Texts.valid(header)).isEqualTo(new PatchHeader(1, "an operator", "20% more, for May; see [7]"));
    }

    /**
     * An operator misspells a name, omits a key or removes a record that is still referenced. Without the location of
     * the error, it would have to be found in a document of thousands of sections.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[set class chat]\\ntire = 3 | set class chat | tire | tire (nearest: tier)",
                "[set class chat]\\ntire = | set class chat | tire | tire (nearest: tier)",
                "[set class chat]\\ntier = | set class chat | tier | nothing",
                "[set class chat]\\ntier = 9 | set class chat | tier | 9",
                "[set class new]\\nupstream = llm\\ntier = 1\\nidempotent = true | set class new | target-ms | nothing",
                "[remove class chta] | remove class chta | | chta (nearest: chat)",
                "[remove class chat]\\ntier = 2 | remove class chat | tier | tier",
                "[remove upstream llm] | class chat | upstream | llm",
                "[remove class lookup] | customer shop | classes | lookup",
                "[set class chat]\\ntier = 1\\n[remove class chat] | remove class chat | | it again",
                "[change class chat]\\ntier = 1 | change class chat | | change class chat",
                "[set clas chat]\\ntier = 1 | set clas chat | | clas (nearest: class)",
                "[class chat]\\ntier = 1 | class chat | | class chat (nearest: set class chat)",
            })
    void anInvalidPatchIsRejectedWithTheLocationOfTheError(String changes, String section, String key, String found) {
        String text = HEADER + changes.replace("\\n", "\n") + "\n";

        List<Finding> findings = Texts.findings(reader.fold(Texts.small(), 2, "p.ini", text));

        assertThat(findings).anySatisfy(each -> {
            assertThat(each.section()).isEqualTo(section);
            assertThat(each.key()).isEqualTo(key == null ? "" : key);
            assertThat(each.found()).isEqualTo(found);
        });
    }

    /**
     * Two operators write patches against the same number and both are published. The second patch does not
     * take the first into account, and would silently undo its changes.
     */
    @Test
    void aPatchWithAnotherBaseIsRejected() {
        Configuration base = Texts.small();
        Configuration patched = fold(base, "[set class chat]\ntier = 3\n");

        List<Finding> findings =
                Texts.findings(reader.fold(patched, 3, "late.ini", HEADER + "[set class chat]\ntier = 1\n"));

        assertThat(findings).containsExactly(new Finding("late.ini", "patch", "base", "2", "1"));
    }

    @Test
    void aWrongBaseIsReportedTogetherWithAllOtherErrors() {
        String text = HEADER.replace("base = 1", "base = 5") + "[set class chat]\ntier = 9\nmodle = m\n";

        assertThat(Texts.findings(reader.fold(Texts.small(), 2, "p.ini", text)))
                .extracting(Finding::key)
                .containsExactly("base", "modle", "tier");
    }

    /**
     * A stale reader delivers an entry again that was applied before. Applying it under its old number would set the
     * configuration in force back to that number.
     */
    @Test
    void aPatchWithANumberNotAboveItsBaseIsRejected() {
        Checked<Configuration> result =
                reader.fold(Texts.small(), 1, "again.ini", HEADER + "[set class chat]\ntier = 1\n");

        assertThat(Texts.findings(result)).extracting(Finding::found).containsExactly("number 1");
    }

    @Test
    void aPatchWithoutHeaderAndChangesIsRejectedWithEveryMissingKey() {
        assertThat(Texts.findings(reader.fold(Texts.small(), 2, "p.ini", "")))
                .extracting(Finding::key)
                .containsExactlyInAnyOrder("", "base", "author", "reason");
    }

    private Configuration fold(Configuration base, String changes) {
        return Texts.valid(reader.fold(base, 2, "p.ini", HEADER + changes));
    }
}
