package org.dotterelcourse.policy.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which part of prompts is held back after crashes, and which ones beside it are not. */
class PromptPartQuarantineTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long START = 100 * SECOND;
    private static final long RUN_MILLIS = 200;
    private static final int MANY_PARTS = 100_000;
    private static final int MAX_NOTICES = 64;
    private static final int CRASHING_INTERVAL = 700;
    private static final String SHARED = "shared by all";
    private static final String CRASHING = "crashing";

    private final RequestQuarantine quarantine = new RequestQuarantine();
    private int crashes;

    @Test
    void threeConsecutiveCrashesHoldAPartBackAndTwoLeaveOneTrial() {
        crash("v1", START, SHARED, CRASHING);
        assertThat(verdict("v1", START, SHARED, CRASHING)).isInstanceOf(Verdict.Allowed.class);
        crash("v1", START + SECOND, SHARED, CRASHING);
        assertThat(verdict("v1", START + SECOND, SHARED, CRASHING)).isInstanceOf(Verdict.Trial.class);
        crash("v1", START + 2 * SECOND, SHARED, CRASHING);
        assertThat(verdict("v1", START + 2 * SECOND, SHARED, CRASHING)).isInstanceOf(Verdict.Quarantined.class);
    }

    // Guards against holding back a whole kind of requests, which have their first part in common with the cause.
    @Test
    void aPartThatIsBesideTheCrashingOneIsFreeForRequestsWithoutTheCrashingOne() {
        for (int i = 0; i < 2; i++) {
            crash("v1", START + i * SECOND, SHARED, CRASHING);
            assertThat(verdict("v1", START + i * SECOND, SHARED)).isInstanceOf(Verdict.Allowed.class);
        }
        crash("v1", START + 2 * SECOND, SHARED, CRASHING);
        assertThat(verdict("v1", START + 2 * SECOND, SHARED)).isInstanceOf(Verdict.Trial.class);
        finish("v1", START + 3 * SECOND, SHARED);
        assertThat(verdict("v1", START + 3 * SECOND, SHARED)).isInstanceOf(Verdict.Allowed.class);
        assertThat(verdict("v1", START + 3 * SECOND, SHARED, CRASHING)).isInstanceOf(Verdict.Quarantined.class);
    }

    // Guards against holding back a kind of requests for good when two parts crash workers and none of its runs has
    // finished.
    @Test
    void aPartThatIsBesideTwoCrashingOnesIsTriedByARequestWithoutThem() {
        for (int i = 0; i < 4; i++) {
            crash("v1", START + i * SECOND, SHARED, CRASHING + i % 2);
        }
        assertThat(verdict("v1", START + 4 * SECOND, SHARED)).isInstanceOf(Verdict.Trial.class);
        assertThat(verdict("v1", START + 4 * SECOND, SHARED, CRASHING + 0)).isInstanceOf(Verdict.Quarantined.class);
        finish("v1", START + 5 * SECOND, SHARED);
        assertThat(verdict("v1", START + 5 * SECOND, SHARED)).isInstanceOf(Verdict.Allowed.class);
    }

    @Test
    void theCauseIsFoundThoughOtherPartsOfItsRequestsFinishBetweenTheCrashes() {
        for (int i = 0; i < 3; i++) {
            crash("v1", START + i * SECOND, SHARED, CRASHING, "beside " + i);
            finish("v1", START + i * SECOND + SECOND / 2, SHARED);
        }
        assertThat(verdict("v1", START + 3 * SECOND, SHARED, "beside 1")).isInstanceOf(Verdict.Allowed.class);
        crash("v1", START + 3 * SECOND, SHARED, CRASHING);
        assertThat(verdict("v1", START + 3 * SECOND, SHARED, CRASHING)).isInstanceOf(Verdict.Quarantined.class);
    }

    // Guards against many trials of a crashing part whose requests all have different parts beside it.
    @Test
    void aPartWhoseCrashesMayAllHaveOtherCausesIsTriedRarely() {
        for (int i = 0; i < 3; i++) {
            crash("v1", START + i * SECOND, CRASHING, "beside " + i);
        }
        assertThat(verdict("v1", START + 3 * SECOND, CRASHING)).isEqualTo(new Verdict.Trial(true));
    }

    @Test
    void partsOfRequestsThatWereOnTheSameWorkerOnceAreAllowed() {
        crash("v1", START, SHARED, CRASHING);
        quarantine.applyNotice(notice("bystander", "v1", Ending.CRASHED_BEFORE_OUTPUT, crashes, 0), START);
        assertThat(verdict("v1", START, "bystander")).isInstanceOf(Verdict.Allowed.class);
    }

    // Guards against workers that crash together, as in a power loss, under parts that all their requests have.
    @Test
    void workersThatCrashAtTheSameMomentCountOnce() {
        for (int i = 0; i < 10; i++) {
            crash("v1", START + i * SECOND / 100, SHARED, "part " + i);
        }
        assertThat(verdict("v1", START + SECOND, SHARED)).isInstanceOf(Verdict.Allowed.class);
    }

    @Test
    void atAnotherSoftwareVersionOneCrashIsEnoughAndOneFinishedRunAllowsThePart() {
        for (int i = 0; i < 3; i++) {
            crash("v1", START + i * SECOND, SHARED, CRASHING);
        }
        long now = START + 3 * SECOND;
        finish("v1", now, SHARED);
        assertThat(verdict("v2", now, CRASHING)).isInstanceOf(Verdict.Trial.class);
        crash("v2", now, CRASHING);
        assertThat(verdict("v2", now, CRASHING)).isInstanceOf(Verdict.Quarantined.class);
        finish("v3", now, CRASHING);
        assertThat(verdict("v3", now, CRASHING)).isInstanceOf(Verdict.Allowed.class);
        assertThat(verdict("v1", now, CRASHING)).isInstanceOf(Verdict.Quarantined.class);
    }

    @Test
    void recordsAndNoticesStayBoundedUnderManyDistinctParts() {
        Random random = new Random(1);
        for (int i = 0; i < MANY_PARTS; i++) {
            crash("v1", START + i * SECOND / 1_000, "part " + i);
            if (i % CRASHING_INTERVAL == 0) {
                crash("v1", START + i * SECOND / 1_000, CRASHING, "beside " + random.nextInt());
            }
            assertThat(quarantine.takeNotices(START + i * SECOND / 1_000)).hasSizeLessThanOrEqualTo(MAX_NOTICES);
        }
        long now = START + MANY_PARTS * SECOND / 1_000;
        assertThat(verdict("v1", now, CRASHING)).isInstanceOf(Verdict.Quarantined.class);
        assertThat(verdict("v1", now, "part 1")).isInstanceOf(Verdict.Allowed.class);
        assertThat(verdict("v1", now, "part " + (MANY_PARTS - 1))).isInstanceOf(Verdict.Allowed.class);
    }

    @Property(tries = 100)
    void noticesOfPeersLeadToTheSameVerdictInAnyOrder(@ForAll Random random) {
        List<CrashNotice> notices = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            notices.add(notice(CRASHING, "v1", Ending.CRASHED_BEFORE_OUTPUT, i + 1, 4_000 - 1_000 * i));
            notices.add(notice(SHARED, "v1", Ending.CRASHED_BEFORE_OUTPUT, i + 1, 4_000 - 1_000 * i));
        }
        notices.add(notice(SHARED, "v1", Ending.FINISHED, 0, 500));
        notices.addAll(notices);
        Collections.shuffle(notices, random);
        RequestQuarantine peer = new RequestQuarantine();
        notices.forEach(notice -> peer.applyNotice(notice, START));
        assertThat(peer.verdict(List.of(part(SHARED, "v1"), part(CRASHING, "v1")), START))
                .isInstanceOf(Verdict.Quarantined.class);
    }

    /** Records a crash under a request with these shared parts, which the worker had for a while. */
    private void crash(String version, long nowNanos, String... parts) {
        crashes++;
        for (String part : parts) {
            quarantine.applyNotice(notice(part, version, Ending.CRASHED_BEFORE_OUTPUT, crashes, 0), nowNanos);
        }
    }

    private void finish(String version, long nowNanos, String part) {
        quarantine.applyNotice(notice(part, version, Ending.FINISHED, 0, 0), nowNanos);
    }

    private Verdict verdict(String version, long nowNanos, String... parts) {
        return quarantine.verdict(
                List.of(parts).stream().map(part -> part(part, version)).toList(), nowNanos);
    }

    private static CrashNotice notice(String part, String version, Ending ending, int worker, long agoMillis) {
        return new CrashNotice(part(part, version), ending, worker, RUN_MILLIS, agoMillis);
    }

    private static CrashCause part(String part, String version) {
        return CrashCause.ofPart(Fingerprint.ofPromptPart("u", part), version);
    }
}
