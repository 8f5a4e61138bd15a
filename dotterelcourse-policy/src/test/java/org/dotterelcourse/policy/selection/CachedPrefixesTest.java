package org.dotterelcourse.policy.selection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

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

    // Guards against a lookup that differs from a plain list of all uses, such as one that counts an expired part or
    // keeps the first use of a part that has expired in between.
    @Test
    void lookupsAgreeWithAListOfAllUses() {
        Random random = new Random(5);
        Map<String, List<Long>> uses = new HashMap<>();
        long now = SECOND;
        int cached = 0;
        for (int i = 0; i < 20_000; i++) {
            now += (long) (random.nextDouble() * random.nextDouble() * random.nextDouble() * 4 * SECOND);
            Prompt prompt = prompt("a" + random.nextInt(5), "b" + random.nextInt(5));
            int worker = random.nextInt(6);
            if (random.nextInt(4) == 0) {
                prefixes.recordSent(prompt, worker, now);
                recordUse(uses, prompt.parts().get(0).id(), worker, now);
                recordUse(uses, prompt.parts().get(1).id(), worker, now);
            } else if (random.nextInt(4) == 0) {
                String part = prompt.parts().get(random.nextInt(2)).id();
                prefixes.recordPeerReport(new CachedPrefixes.PartLocation(part.hashCode(), worker), now);
                recordUse(uses, part, worker, now);
            }
            int expected = expectedTokens(uses, prompt, worker, now, -1);
            assertThat(prefixes.cachedTokens(prompt, worker, now)).isEqualTo(expected);
            assertThat(prefixes.fetchableTokens(prompt, worker, now))
                    .isEqualTo(expectedTokens(uses, prompt, worker, now, SECOND / 2));
            cached += expected > 0 ? 1 : 0;
        }
        assertThat(cached).isBetween(2_000, 18_000);
    }

    /** Records a use. Uses before a pause of more than the retention period are dropped. */
    private static void recordUse(Map<String, List<Long>> uses, String part, int worker, long nowNanos) {
        List<Long> times = uses.computeIfAbsent(part + "@" + worker, key -> new ArrayList<>());
        if (!times.isEmpty() && nowNanos - times.get(times.size() - 1) > 30 * SECOND) {
            times.clear();
        }
        times.add(nowNanos);
    }

    private static int expectedTokens(
            Map<String, List<Long>> uses, Prompt prompt, int worker, long nowNanos, long minAgeNanos) {
        int tokens = 0;
        for (Prompt.Part part : prompt.parts()) {
            List<Long> times = uses.get(part.id() + "@" + worker);
            if (times == null
                    || nowNanos - times.get(times.size() - 1) > 30 * SECOND
                    || nowNanos - times.get(0) <= minAgeNanos) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    private static Prompt prompt(String first, String second) {
        return new Prompt(
                List.of(new Prompt.Part(first, 100), new Prompt.Part(second, 100), new Prompt.Part("own", 50)),
                250,
                10,
                LatencyClass.START_SENSITIVE);
    }
}
