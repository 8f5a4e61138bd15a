package org.dotterelcourse.policy.rate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RateShareTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void hasAsManyHoldersAsWholeRequestsPerSecond() {
        assertThat(RateShare.ofPeak(5.9, 60)).isEqualTo(new RateShare(5, 1, SECOND));
        assertThat(RateShare.ofPeak(5.9, 2)).isEqualTo(new RateShare(2, 2, SECOND));
        assertThat(RateShare.ofPeak(5.9, 1)).isEqualTo(new RateShare(1, 5, SECOND));
        assertThat(RateShare.ofPeak(0.5, 60)).isEqualTo(new RateShare(1, 1, 2 * SECOND));
    }

    @Property(seed = "20261203")
    void peakSharesNeverExceedTheWorkersRate(
            @ForAll @DoubleRange(min = 0.01, max = 1_000) double perSecond,
            @ForAll @IntRange(min = 1, max = 400) int processes) {
        RateShare share = RateShare.ofPeak(perSecond, processes);
        assertThat(share.holders()).isBetween(1, processes);
        assertThat(share.requests()).isPositive();
        double maxPerSecond = share.holders() * share.requests() * (double) SECOND / share.windowNanos();
        assertThat(maxPerSecond).isLessThanOrEqualTo(perSecond * 1.000001);
    }

    // A process sends as fast as its share allows. No sliding window may contain more requests than the share.
    @Property(seed = "20261203")
    void noWindowContainsMoreRequestsThanTheShare(
            @ForAll @DoubleRange(min = 0.1, max = 20) double perSecond,
            @ForAll @IntRange(min = 1, max = 40) int processes,
            @ForAll @IntRange(min = 1, max = 400) int intervalMillis) {
        RateShare share = RateShare.ofPeak(perSecond, processes);
        SlidingWindowLog log = new SlidingWindowLog();
        List<Long> sent = new ArrayList<>();
        for (long nowNanos = 0; nowNanos < 12 * SECOND; nowNanos += intervalMillis * 1_000_000L) {
            if (log.allows(share, nowNanos)) {
                log.recordRequest(nowNanos);
                sent.add(nowNanos);
            }
        }
        assertThat(sent).isNotEmpty();
        for (int i = 0; i + share.requests() < sent.size(); i++) {
            assertThat(sent.get(i + share.requests()) - sent.get(i)).isGreaterThanOrEqualTo(share.windowNanos());
        }
    }

    @Property(seed = "20261203")
    void meanSharesAddUpToTheWorkersRate(
            @ForAll @DoubleRange(min = 0, max = 1_000) double perSecond,
            @ForAll @IntRange(min = 1, max = 400) int processes) {
        RateShare share = RateShare.ofMean(perSecond, processes);
        assertThat(share.holders()).isBetween(1, processes);
        double totalPerSecond = share.holders() * share.requests() * (double) SECOND / share.windowNanos();
        assertThat(totalPerSecond).isCloseTo(Math.max(0.25, perSecond), Percentage.withPercentage(0.001));
    }

    // All holders send as fast as their shares allow, each starting at a random time. In any four seconds the worker
    // may get at most one and a half times its limit plus five requests.
    @Property(seed = "20261203", tries = 300)
    void allHoldersTogetherRespectTheWorkersLimit(
            @ForAll @DoubleRange(min = 0, max = 40) double perSecond,
            @ForAll @IntRange(min = 1, max = 100) int processes,
            @ForAll long seed) {
        RateShare share = RateShare.ofMean(perSecond, processes);
        Random random = new Random(seed);
        List<Long> sentByAll = new ArrayList<>();
        for (int holder = 0; holder < share.holders(); holder++) {
            SlidingWindowLog log = new SlidingWindowLog();
            for (long nowNanos = random.nextInt(3_000) * SECOND / 1_000;
                    nowNanos < 15 * SECOND;
                    nowNanos += 20_000_000L) {
                if (log.allows(share, nowNanos)) {
                    log.recordRequest(nowNanos);
                    sentByAll.add(nowNanos);
                }
            }
        }
        for (long start : sentByAll) {
            long count = sentByAll.stream()
                    .filter(at -> at >= start && at - start < 4 * SECOND)
                    .count();
            assertThat((double) count).isLessThanOrEqualTo(1.5 * 4 * perSecond + 5);
        }
    }
}
