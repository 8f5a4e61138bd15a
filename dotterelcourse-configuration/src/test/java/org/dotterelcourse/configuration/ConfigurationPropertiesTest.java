package org.dotterelcourse.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.statistics.Statistics;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationPropertiesTest {
    private static final String SEED = "20261202";
    private static final double MIN_ACCEPTED_PERCENT = 25;
    private static final String HEADER = "[patch]\nbase = %d\nauthor = a\nreason = r\n";

    private final IniConfigurationReader reader = new IniConfigurationReader();

    @Property(seed = SEED, tries = 200)
    void applyingPatchesInOrderEqualsReadingTheRenderedResult(@ForAll("patches") List<String> patches) {
        Configuration patched = Texts.small();
        for (String patch : patches) {
            String text = HEADER.formatted(patched.number()) + patch;
            Checked<Configuration> result = reader.fold(patched, patched.number() + 1, "patch", text);
            Statistics.label("accepted").collect(result instanceof Checked.Valid);
            patched = result instanceof Checked.Valid<Configuration> valid ? valid.value() : patched;
        }

        Statistics.label("accepted")
                .coverage(each -> each.check(true).percentage(share -> share > MIN_ACCEPTED_PERCENT));
        String text = ConfigurationText.render(patched);
        Configuration reread = Texts.valid(reader.read(patched.number(), "whole", text));

        assertThat(reread).isEqualTo(patched);
        assertThat(ConfigurationText.render(reread)).isEqualTo(text);
    }

    /**
     * A published patch contains an error in its last section. If the earlier sections took effect, a daemon would apply
     * a configuration that was never published, and daemons could diverge.
     */
    @Property(seed = SEED, tries = 200)
    void aRejectedPatchChangesNothing(@ForAll("patches") List<String> patches) {
        Configuration base = Texts.small();
        String before = ConfigurationText.render(base);
        for (String patch : patches) {
            Checked<Configuration> result =
                    reader.fold(base, 2, "patch", HEADER.formatted(1) + patch + "[set class chat]\ntier = 9\n");
            assertThat(Texts.findings(result)).isNotEmpty();
        }

        assertThat(ConfigurationText.render(base)).isEqualTo(before);
        assertThat(base).isEqualTo(Texts.small());
    }

    @Property(seed = SEED, tries = 200)
    void theOrderOfChangesWithinAPatchHasNoEffect(@ForAll("changes") Map<String, String> changes) {
        List<String> forwards = new ArrayList<>(changes.values());
        List<String> backwards = new ArrayList<>();
        forwards.forEach(each -> backwards.add(0, each));

        Checked<Configuration> forwardsResult =
                reader.fold(Texts.small(), 2, "p", HEADER.formatted(1) + String.join("", forwards));
        Checked<Configuration> backwardsResult =
                reader.fold(Texts.small(), 2, "p", HEADER.formatted(1) + String.join("", backwards));

        if (forwardsResult instanceof Checked.Valid<Configuration> valid) {
            assertThat(Texts.valid(backwardsResult)).isEqualTo(valid.value());
        } else {
            assertThat(Texts.findings(backwardsResult))
                    .containsExactlyInAnyOrderElementsOf(Texts.findings(forwardsResult));
        }
    }

    /**
     * Arbitrary text is published as a document, or passed to the command-line tool. An exception would terminate the
     * thread that reads configurations, so that the daemon would not apply any later configuration.
     */
    @Property(seed = SEED, tries = 1000)
    void arbitraryTextYieldsFindingsAndNoException(@ForAll("garbage") String text) {
        assertThat(Texts.findings(reader.read(1, "garbage", text))).isNotEmpty();
        assertThat(Texts.findings(reader.fold(Texts.small(), 2, "garbage", text)))
                .isNotEmpty();
        assertThat(Texts.findings(new DaemonSettingsReader().read("garbage", text)))
                .isNotEmpty();
    }

    /** A document is truncated in transit. The remainder is accepted only if it is a complete document by itself. */
    @Property(seed = SEED, tries = 300)
    void readingATruncatedDocumentNeverThrows(@ForAll("cuts") int length) {
        Checked<Configuration> truncated = reader.read(1, "cut", Texts.SMALL.substring(0, length));

        if (truncated instanceof Checked.Valid<Configuration> valid) {
            assertThat(valid.value().upstreams()).hasSize(2);
        }
    }

    @Provide
    Arbitrary<Integer> cuts() {
        return Arbitraries.integers().between(0, Texts.SMALL.length());
    }

    @Provide
    Arbitrary<List<String>> patches() {
        return change().list().ofMinSize(1).ofMaxSize(12);
    }

    @Provide
    Arbitrary<Map<String, String>> changes() {
        return change().list().ofMinSize(1).ofMaxSize(5).map(list -> {
            Map<String, String> byTarget = new HashMap<>();
            list.forEach(each -> byTarget.put(each.substring(each.indexOf(' '), each.indexOf(']')), each));
            return byTarget;
        });
    }

    @Provide
    Arbitrary<String> garbage() {
        Arbitrary<String> pieces = Arbitraries.of(
                "[",
                "]",
                "=",
                ":",
                ";",
                "#",
                "\"",
                "\\",
                "\n",
                "\r\n",
                " ",
                "set class chat",
                "class",
                "worker a",
                "tier",
                "[patch]\nbase = 1\n",
                "[daemon]",
                "\t",
                "\u0000",
                "\uFEFF",
                "é",
                "[]",
                "\"\"",
                " \\\n",
                "=\"",
                "${x}",
                "@");
        return Arbitraries.oneOf(pieces.list().ofMaxSize(30).map(list -> String.join("", list)), Arbitraries.strings());
    }

    private static Arbitrary<String> change() {
        Arbitrary<String> requestClass = Combinators.combine(
                        Arbitraries.of("chat", "talk", "lookup"),
                        Arbitraries.integers().between(0, 5),
                        shares())
                .as(
                        "[set class %s]\nupstream = llm\nmodel = m/1:a\nversion = 2\ntoken-interval-ms = 9\ntarget-ms = 7\nidempotent = true\ntier = %d\nminimum-share = %s\n"
                                ::formatted);
        Arbitrary<String> customer = Combinators.combine(
                        Arbitraries.of("shop", "mill"),
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.of("chat", "talk", "lookup,chat", "chat , talk"),
                        Arbitraries.of("0.5", "1", "1.50", "1000000"))
                .as((name, key, classes, rate) ->
                        "[set customer %s]\nkey-sha256 = %s\nclasses = %s\ndefault-class = chat\nrequests-per-second = %s\ntokens-per-second = %s\n"
                                .formatted(name, key.repeat(64), classes, rate, rate));
        Arbitrary<String> worker = Combinators.combine(
                        Arbitraries.of("llm-1", "llm-2", "api-2"),
                        Arbitraries.integers().between(1, 4))
                .as("[set worker %s]\nupstream = llm\naddress = 10.0.0.%d:9101\ndata-centre = hall\n"::formatted);
        Arbitrary<String> removal = Arbitraries.of("class talk", "customer mill", "worker llm-2", "upstream api")
                .map("[remove %s]\n"::formatted);
        return Arbitraries.oneOf(requestClass, customer, worker, removal);
    }

    private static Arbitrary<String> shares() {
        return Arbitraries.of("0", "0.1", "0.25", "0.30", "1", "");
    }
}
