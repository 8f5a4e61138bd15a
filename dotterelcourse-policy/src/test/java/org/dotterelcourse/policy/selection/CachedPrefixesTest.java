package org.dotterelcourse.policy.selection;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CachedPrefixesTest {
    private static final long SECOND = 1_000_000_000L;

    private final CachedPrefixes prefixes = new CachedPrefixes();

    @Test
    void cachedTokensEndBeforeTheFirstPartThatIsNotCached() {
        prefixes.recordSent(prompt("a", "b"), 1, SECOND);
        assertThat(prefixes.cachedTokens(prompt("a", "b"), 1, SECOND)).isEqualTo(200);
        assertThat(prefixes.cachedTokens(prompt("a", "c"), 1, SECOND)).isEqualTo(100);
        assertThat(prefixes.cachedTokens(prompt("c", "b"), 1, SECOND)).isZero();
        assertThat(prefixes.cachedTokens(prompt("a", "b"), 2, SECOND)).isZero();
    }

    // Sixty processes receive prompts with the same shared parts, each of them one every ten seconds. Without reports
    // to each other, most of them would send these prompts to engines that have to read the parts again.
    @Test
    void reportedLocationsAreKnownToPeers() {
        CachedPrefixes peer = new CachedPrefixes();
        prefixes.recordSent(prompt("a", "b"), 1, SECOND);
        prefixes.drainUnreported().forEach(location -> peer.recordPeerReport(location, SECOND));
        assertThat(peer.cachedTokens(prompt("a", "b"), 1, SECOND)).isEqualTo(200);
        assertThat(peer.isCachedAnywhere("b", SECOND)).isTrue();
        assertThat(peer.drainUnreported()).isEmpty();
    }

    @Test
    void aLocationIsReportedAgainOnlyAfterTheReportInterval() {
        prefixes.recordSent(prompt("a", "b"), 1, SECOND);
        assertThat(prefixes.drainUnreported()).hasSize(2);
        prefixes.recordSent(prompt("a", "b"), 1, 2 * SECOND);
        assertThat(prefixes.drainUnreported()).isEmpty();
        prefixes.recordSent(prompt("a", "b"), 1, 10 * SECOND);
        assertThat(prefixes.drainUnreported()).hasSize(2);
    }

    @Test
    void aPartThatIsNotUsedForTheRetentionPeriodIsEvicted() {
        prefixes.recordSent(prompt("a", "b"), 1, SECOND);
        assertThat(prefixes.isCachedAnywhere("a", 20 * SECOND)).isTrue();
        assertThat(prefixes.isCachedAnywhere("a", 40 * SECOND)).isFalse();
        assertThat(prefixes.cachedTokens(prompt("a", "b"), 1, 40 * SECOND)).isZero();
    }

    private static Prompt prompt(String first, String second) {
        return new Prompt(
                List.of(new Prompt.Part(first, 100), new Prompt.Part(second, 100), new Prompt.Part("own", 50)),
                250,
                10,
                LatencyClass.START_SENSITIVE);
    }
}
