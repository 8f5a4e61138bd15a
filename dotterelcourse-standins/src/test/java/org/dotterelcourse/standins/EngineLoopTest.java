package org.dotterelcourse.standins;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** The engine's loop without clock and network. */
final class EngineLoopTest {
    private static final long STEP = 1_000;
    private static final long EACH = 10;
    private static final long PREFILL = 2;

    /** Keeps what an engine emits. */
    private static final class Kept implements Sequence.Sink {
        private final StringBuilder text = new StringBuilder();

        @Override
        public void token(String token) {
            text.append(token);
        }

        @Override
        public void finished(Sequence sequence) {
            // The loop returns it as complete.
        }

        @Override
        public void lost() {
            // The loop has no connections.
        }
    }

    private final EngineCounts counts = new EngineCounts();
    private long now;
    private final PrefixCache cache = new PrefixCache(4, 100, 0, 1, () -> now);

    @Test
    void aDecodingStepTakesLongerForEachSequenceInTheBatch() {
        EngineLoop loop = loop(8, 8);
        for (int n = 1; n <= 3; n++) {
            loop.offer(sequence("p" + n, 0, Sequence.Resume.NONE));
            drainPrefill(loop);
            assertThat(loop.begin()).isEqualTo(STEP + EACH * n);
            loop.end();
        }
    }

    @Test
    void prefillAndDecodingTakeTurns() {
        EngineLoop loop = loop(8, 8);
        loop.offer(sequence("short", 0, Sequence.Resume.NONE));
        drainPrefill(loop);
        loop.offer(sequence("x".repeat(4 * 512 * 2), 0, Sequence.Resume.NONE));
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            times.add(loop.begin());
            loop.end();
        }
        assertThat(times).containsExactly(PREFILL * 512, STEP + EACH * 2, PREFILL * 512);
    }

    @Test
    void aCachedPrefixIsNotPrefilledAgainAndTheCacheIsLimited() {
        String shared = "s".repeat(128);
        assertThat(cache.uncachedTokens(shared + "first question")).isEqualTo(36);
        assertThat(cache.uncachedTokens(shared + "other question")).isEqualTo(4);
        cache.uncachedTokens("t".repeat(256));
        assertThat(cache.uncachedTokens(shared + "first question")).isEqualTo(36);
    }

    @Test
    void cacheEventsComeLate() {
        cache.uncachedTokens("s".repeat(128));
        assertThat(cache.eventsAfter(0)).isEmpty();
        now = 100;
        assertThat(cache.eventsAfter(0)).extracting(PrefixCache.Event::seq).containsExactly(1L, 2L);
        assertThat(cache.eventsAfter(1)).hasSize(1);
    }

    @Test
    void theMoreUrgentOfThoseWaitingGoesFirst() {
        EngineLoop loop = loop(1, 8);
        loop.offer(sequence("running", 3, Sequence.Resume.NONE));
        loop.offer(sequence("late", 3, Sequence.Resume.NONE));
        loop.offer(sequence("urgent", 0, Sequence.Resume.NONE));
        List<String> order = new ArrayList<>();
        while (loop.begin() > 0) {
            loop.end().forEach(each -> order.add(each.requestId));
        }
        assertThat(order).containsExactly("running", "urgent", "late");
        assertThat(counts.snapshot().values()).allMatch(each -> each.started() == 1 && each.wasted() == 0);
    }

    @Test
    void aResumeWithImportedKvSkipsPrefillAndGivesTheSameBytes() {
        EngineLoop loop = loop(8, 8);
        loop.offer(sequence("q".repeat(400), 0, new Sequence.Resume(2, false)));
        assertThat(loop.begin()).isEqualTo(PREFILL * 102);
        EngineLoop other = loop(8, 8);
        Sequence resumed = sequence("r".repeat(400), 0, new Sequence.Resume(2, true));
        other.offer(resumed);
        assertThat(other.begin()).isEqualTo(STEP + EACH);
        while (other.begin() > 0) {
            other.end();
        }
        String prompt = "r".repeat(400);
        assertThat(ExpectedAnswer.text(prompt, 2) + ((Kept) resumed.sink).text)
                .isEqualTo(ExpectedAnswer.text(prompt, 4));
    }

    @Test
    void aKvCacheIsExportedInProportionToItsTokensAndCoversOnlyItsOwnPrompt() {
        KvStore source = new KvStore();
        Sequence sequence = sequence("prompt", 0, new Sequence.Resume(3, false));
        source.keep(sequence);
        byte[] bytes = source.export("prompt");
        assertThat(bytes).hasSize(12 + 3 * KvStore.BYTES_PER_TOKEN);
        KvStore target = new KvStore();
        target.put("id", bytes);
        assertThat(target.covers("id", "prompt", 3)).isTrue();
        assertThat(target.covers("id", "prompt", 4)).isFalse();
        assertThat(target.covers("id", "other", 3)).isFalse();
    }

    private EngineLoop loop(int batch, int waiting) {
        return new EngineLoop(new EngineLoop.Shape(STEP, EACH, PREFILL, batch, waiting), cache, counts);
    }

    private static Sequence sequence(String prompt, int priority, Sequence.Resume resume) {
        return new Sequence(prompt, prompt, priority, resume, 4, new Kept());
    }

    private static void drainPrefill(EngineLoop loop) {
        while (loop.begin() < STEP) {
            loop.end();
        }
    }
}
