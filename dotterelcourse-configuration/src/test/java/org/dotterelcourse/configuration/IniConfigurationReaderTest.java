package org.dotterelcourse.configuration;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class IniConfigurationReaderTest {
    private final IniConfigurationReader reader = new IniConfigurationReader();

    @Test
    void aDocumentIsReadIntoItsRecords() {
        Configuration configuration = Texts.small();

        RequestClass chat = configuration.requestClass("chat").orElseThrow();
        assertThat(chat.upstream()).isEqualTo("llm");
        assertThat(chat.targetMillis()).isEqualTo(2000);
        assertThat(chat.minimumShare()).isEqualTo(0.4);
        assertThat(chat.maxOutputTokens()).isEqualTo(1024);
        assertThat(configuration.requestClass("lookup").orElseThrow().idempotent())
                .isFalse();
        assertThat(configuration.customerOfKey("a".repeat(64)))
                .contains(configuration.customer("shop").orElseThrow());
        assertThat(configuration.upstream("llm").orElseThrow().workers())
                .containsExactly(new Worker("llm-1", "10.0.0.1:9101", "hall"));
        assertThat(configuration.upstream("llm").orElseThrow().fencing()).isEqualTo(Upstream.Fencing.CHECKED);
        assertThat(configuration.upstream("nothing")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "tier = 2 | tier = 5 | class chat | tier | a whole number from 1 to 4 | 5",
                "tier = 2 | tier = two | class chat | tier | a whole number from 1 to 4 | two",
                "tier = 2 | | class chat | tier | a whole number from 1 to 4 | nothing",
                "target-ms = 2000 | target-sm = 2000 | class chat | target-ms | a whole number from 1 to 86400000 | nothing",
                "idempotent = true | idempotent = yes | class chat | idempotent | true or false | yes",
                "minimum-share = 0.4 | minimum-share = 40% | class chat | minimum-share | a number from 0 to 1 | 40%",
                "upstream = llm\\nmodel | upstream = lml\\nmodel | class chat | upstream | the name of a known upstream | lml (nearest: llm)",
                "classes = chat, lookup | classes = chat, lokup | customer shop | classes | the name of a known class | lokup (nearest: lookup)",
                "default-class = chat | default-class = other | customer shop | default-class | one of the customer's classes | other",
                "10.0.0.1:9101 | llm.example:9101 | worker llm-1 | address | an IP number and port, as in 127.0.0.1:9101 | llm.example:9101",
                "10.0.0.1:9101 | 10.0.0.256:9101 | worker llm-1 | address | an IP number and port, as in 127.0.0.1:9101 | 10.0.0.256:9101",
                "10.0.0.1:9101 | 10.0.0.1:70000 | worker llm-1 | address | an IP number and port, as in 127.0.0.1:9101 | 10.0.0.1:70000",
                "10.0.0.1:9101 | 10.0.0.2:9101 | worker api-1 | address | an address of its own | that of worker llm-1",
                "10.0.0.1:9101 | [fd00::g]:9101 | worker llm-1 | address | an IP number and port, as in 127.0.0.1:9101 | [fd00::g]:9101",
                "10.0.0.1:9101 | [.a:b]:9101 | worker llm-1 | address | an IP number and port, as in 127.0.0.1:9101 | [.a:b]:9101",
                "kind = engine | kind = motor | upstream llm | kind | engine or service | motor",
                "[class lookup] | [clas lookup] | clas lookup | | a section [KIND NAME] with a kind of class, customer, upstream, worker | clas (nearest: class)",
                "[class lookup] | [class] | class | | a section [KIND NAME] with a kind of class, customer, upstream, worker | class (nearest: class)",
                "[class lookup] | [class chat] | class chat | | each section once | it again",
                "fencing = checked | fencing = checked\\nfencing = ignored | upstream llm | fencing | each key once | it again",
            })
    void anErrorIsReportedWithItsLocationAndTheExpectedValue(
            String original, String replacement, String section, String key, String expected, String found) {
        String text =
                Texts.SMALL.replace(unescapeLines(original), replacement == null ? "" : unescapeLines(replacement));

        List<Finding> findings = Texts.findings(reader.read(1, "doc.ini", text));

        assertThat(findings).contains(new Finding("doc.ini", section, key == null ? "" : key, expected, found));
    }

    private static String unescapeLines(String text) {
        return text.replace("\\n", "\n");
    }

    @Test
    void allErrorsOfADocumentAreReportedTogetherInDocumentOrder() {
        String text = Texts.SMALL
                .replace("model = m", "modle = m")
                .replace("idempotent = false", "idempotent = no")
                .replace("default-class = chat", "default-class = chat\ndefault-class = lookup")
                .replace("concurrency = 4", "concurrency = 0");

        List<Finding> findings = Texts.findings(reader.read(1, "doc.ini", text));

        assertThat(findings)
                .extracting(Finding::section)
                .containsExactly("class chat", "class lookup", "customer shop", "upstream api");
        assertThat(findings.get(0).found()).isEqualTo("modle (nearest: model)");
    }

    @Test
    void aClassOfAPlainServiceMayNotHaveAModelOrTokenSettings() {
        String text = Texts.SMALL.replace(
                "target-ms = 500",
                "target-ms = 500\nmodel = m\nversion = 1\ntoken-interval-ms = 5\nmax-output-tokens = 9");

        List<Finding> findings = Texts.findings(reader.read(1, "doc.ini", text));

        assertThat(findings)
                .extracting(Finding::key)
                .containsExactly("model", "version", "token-interval-ms", "max-output-tokens");
        assertThat(findings).extracting(Finding::section).containsOnly("class lookup");
    }

    @Test
    void aClassOfEnginesNeedsAModelAVersionAndATokenInterval() {
        String text = Texts.SMALL.replace("model = m\nversion = 1\n", "").replace("token-interval-ms = 100\n", "");

        List<Finding> findings = Texts.findings(reader.read(1, "doc.ini", text));

        assertThat(findings).extracting(Finding::key).containsExactly("model", "version", "token-interval-ms");
    }

    /**
     * Successive patches give several classes large minimum shares. If the sum could exceed 1, at least one class would
     * not get its configured share under load.
     */
    @Test
    void minimumSharesOfOneUpstreamMayNotAddUpToMoreThanOne() {
        String chatSection = Texts.SMALL.substring(0, Texts.SMALL.indexOf("[class lookup]"));
        String text = Texts.SMALL
                + chatSection.replace("[class chat]", "[class talk]").replace("0.4", "0.61");

        assertThat(Texts.findings(reader.read(1, "doc.ini", text)))
                .containsExactly(new Finding(
                        "doc.ini", "upstream llm", "", "classes whose minimum-share add up to 1 at most", "1.01"));
        assertThat(reader.read(1, "doc.ini", text.replace("0.61", "0.6"))).isInstanceOf(Checked.Valid.class);
    }

    /**
     * A customer's bearer key is written in place of its SHA-256, or the equals sign is missing. Findings are written
     * to logs, the audit trail and terminals, and would reveal the key there.
     */
    @ParameterizedTest
    @ValueSource(strings = {"key-sha256 = a-secret", "key-sha256 a-secret", "key = a-secret"})
    void aFindingNeverShowsABearerKey(String line) {
        String text = Texts.SMALL.replace("key-sha256 = " + "a".repeat(64), line);

        List<Finding> findings = Texts.findings(reader.read(1, "doc.ini", text));

        assertThat(findings).extracting(Finding::key).contains("key-sha256");
        assertThat(findings.toString()).doesNotContain("secret");
    }

    /**
     * A section is copied for a new customer without changing the SHA-256 of the key. Requests of one customer would
     * count against the rate limits of the other.
     */
    @Test
    void twoCustomersMayNotHaveTheSameKey() {
        String customer =
                Texts.SMALL.substring(Texts.SMALL.indexOf("[customer"), Texts.SMALL.indexOf("[upstream llm]"));
        String text = Texts.SMALL + customer.replace("shop", "mill");

        assertThat(Texts.findings(reader.read(1, "doc.ini", text)))
                .containsExactly(new Finding(
                        "doc.ini", "customer mill", "key-sha256", "a key of its own", "that of customer shop"));
    }

    /**
     * A document is truncated in transit or published empty by mistake. Applying it would remove all customers and
     * upstreams, so that every request would be rejected.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "; nothing but a comment\n", "[class", "\u0000"})
    void anEmptyDocumentIsRejected(String text) {
        assertThat(Texts.findings(reader.read(1, "doc.ini", text)))
                .extracting(Finding::expected)
                .contains("at least one section [customer NAME]", "at least one section [upstream NAME]");
    }

    @Test
    void theDigestDoesNotDependOnOrderSpacesOrComments() {
        String[] sections = Texts.SMALL.split("\n(?=\\[)");
        StringBuilder reversedText = new StringBuilder("# another order\n");
        for (int i = sections.length - 1; i >= 0; i--) {
            reversedText
                    .append(sections[i].replace(" = ", "=").replace("chat, lookup", "lookup ,chat"))
                    .append("\n; x\n");
        }

        Configuration other = Texts.valid(reader.read(9, "other.ini", reversedText.toString()));

        assertThat(other.digest()).isEqualTo(Texts.small().digest()).matches("[0-9a-f]{64}");
        assertThat(other.customers()).isEqualTo(Texts.small().customers());
    }
}
