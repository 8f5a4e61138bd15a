package org.dotterelcourse.policy.quarantine;

import java.util.List;

import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestQuarantineTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long START = 1_000 * SECOND;
    private static final long CRASH_RETENTION = 600 * SECOND;
    private static final CrashCause REQUEST = CrashCause.ofContent(new Fingerprint(7));
    private static final CrashCause OTHER = CrashCause.ofContent(new Fingerprint(8));

    private final RequestQuarantine quarantine = new RequestQuarantine();

    @Test
    void allowsARequestWithoutACrash() {
        crash(OTHER, 1, START);
        assertThat(quarantine.verdict(REQUEST, START)).isInstanceOf(Verdict.Allowed.class);
    }

    @Test
    void oneCrashMakesARequestSuspectAndTheNextOneQuarantinesIt() {
        crash(REQUEST, 1, START);
        assertThat(quarantine.verdict(REQUEST, START)).isInstanceOf(Verdict.Suspect.class);
        crash(REQUEST, 2, START + SECOND);
        assertThat(quarantine.verdict(REQUEST, START + SECOND)).isInstanceOf(Verdict.Quarantined.class);
        assertThat(quarantine.verdict(OTHER, START + SECOND)).isInstanceOf(Verdict.Allowed.class);
    }

    @Test
    void workersThatCrashTogetherOnCopiesOfARequestCountOnce() {
        crash(REQUEST, 1, START);
        crash(REQUEST, 2, START + SECOND / 100);
        crash(REQUEST, 3, START + SECOND / 50);
        assertThat(quarantine.verdict(REQUEST, START + SECOND)).isInstanceOf(Verdict.Suspect.class);
    }

    @Test
    void aFinishedRunReleasesARequest() {
        crash(REQUEST, 1, START);
        crash(REQUEST, 2, START + SECOND);
        apply(new CrashNotice(REQUEST, Ending.FINISHED, 0, 0, 0), START + 2 * SECOND);
        assertThat(quarantine.verdict(REQUEST, START + 2 * SECOND)).isInstanceOf(Verdict.Allowed.class);
    }

    @Test
    void ignoresACrashThatIsReportedAfterALaterRunFinished() {
        crash(REQUEST, 1, START);
        apply(new CrashNotice(REQUEST, Ending.FINISHED, 0, 0, 0), START + 3 * SECOND);
        apply(new CrashNotice(REQUEST, Ending.CRASHED_BEFORE_OUTPUT, 2, 100, 1_500), START + 4 * SECOND);
        assertThat(quarantine.verdict(REQUEST, START + 4 * SECOND)).isInstanceOf(Verdict.Allowed.class);
    }

    @Test
    void crashesDuringOutputCountHalf() {
        for (int worker = 1; worker <= 3; worker++) {
            apply(notice(REQUEST, Ending.CRASHED_DURING_OUTPUT, worker), START + worker * SECOND);
            assertThat(quarantine.verdict(REQUEST, START + worker * SECOND)).isInstanceOf(Verdict.Suspect.class);
        }
        apply(notice(REQUEST, Ending.CRASHED_DURING_OUTPUT, 4), START + 4 * SECOND);
        assertThat(quarantine.verdict(REQUEST, START + 4 * SECOND)).isInstanceOf(Verdict.Quarantined.class);
    }

    @Test
    void allowsOneMoreAttemptWhenACrashExpires() {
        crash(REQUEST, 1, START);
        crash(REQUEST, 2, START + SECOND);
        Verdict verdict = quarantine.verdict(REQUEST, START + SECOND);
        assertThat(verdict).isEqualTo(new Verdict.Quarantined((CRASH_RETENTION - SECOND) / 1_000_000));
        long later = START + CRASH_RETENTION + SECOND / 2;
        assertThat(quarantine.verdict(REQUEST, later)).isInstanceOf(Verdict.Suspect.class);
        crash(REQUEST, 3, later);
        assertThat(quarantine.verdict(REQUEST, later)).isInstanceOf(Verdict.Quarantined.class);
    }

    @Test
    void manyCrashesOfOtherRequestsDoNotEvictARequestInQuarantine() {
        crash(REQUEST, 1, START);
        crash(REQUEST, 2, START + SECOND);
        for (int i = 0; i < 5_000; i++) {
            crash(CrashCause.ofContent(new Fingerprint(1_000 + i)), 3, START + 2 * SECOND);
        }
        assertThat(quarantine.verdict(REQUEST, START + 2 * SECOND)).isInstanceOf(Verdict.Quarantined.class);
    }

    @Test
    void removesRecordsWhoseCrashesHaveExpired() {
        crash(REQUEST, 1, START);
        assertThat(quarantine.isEmpty()).isFalse();
        quarantine.takeNotices(START + CRASH_RETENTION + 20 * SECOND);
        assertThat(quarantine.isEmpty()).isTrue();
    }

    @Test
    void sendsANoticeThreeTimesWithItsAge() {
        crash(REQUEST, 1, START);
        assertThat(quarantine.takeNotices(START)).hasSize(1);
        assertThat(quarantine.takeNotices(START + SECOND))
                .containsExactly(new CrashNotice(REQUEST, Ending.CRASHED_BEFORE_OUTPUT, 1, 100, 1_000));
        assertThat(quarantine.takeNotices(START + 2 * SECOND)).hasSize(1);
        assertThat(quarantine.takeNotices(START + 3 * SECOND)).isEmpty();
    }

    @Test
    void sendsCrashesBeforeOutputBeforeCrashesDuringOutput() {
        for (int i = 0; i < 1_000; i++) {
            apply(notice(CrashCause.ofContent(new Fingerprint(1_000 + i)), Ending.CRASHED_DURING_OUTPUT, 1), START);
        }
        crash(REQUEST, 1, START);
        assertThat(quarantine.takeNotices(START))
                .anyMatch(notice -> notice.cause().equals(REQUEST));
    }

    @Test
    void sendsTheRequestsInQuarantineToAProcessThatStartsLater() {
        crash(REQUEST, 1, START);
        crash(REQUEST, 2, START + SECOND);
        long nowNanos = START + 60 * SECOND;
        for (int i = 0; i < 10; i++) {
            quarantine.takeNotices(START + (2 + i) * SECOND);
        }
        RequestQuarantine startedLater = new RequestQuarantine();
        List<CrashNotice> reminders = quarantine.takeNotices(nowNanos);
        reminders.forEach(notice -> startedLater.applyNotice(notice, nowNanos));
        assertThat(startedLater.verdict(REQUEST, nowNanos)).isInstanceOf(Verdict.Quarantined.class);
    }

    @Test
    void sendsTheRequestsInQuarantineAtOnceWhenAPeerStarts() {
        crash(REQUEST, 1, START);
        crash(REQUEST, 2, START + SECOND);
        for (int i = 0; i < 4; i++) {
            quarantine.takeNotices(START + 2 * SECOND);
        }
        assertThat(quarantine.takeNotices(START + 2 * SECOND)).isEmpty();
        quarantine.scheduleReminders();
        assertThat(quarantine.takeNotices(START + 2 * SECOND)).hasSize(2);
    }

    private void crash(CrashCause request, int worker, long nowNanos) {
        apply(notice(request, Ending.CRASHED_BEFORE_OUTPUT, worker), nowNanos);
    }

    private static CrashNotice notice(CrashCause request, Ending ending, int worker) {
        return new CrashNotice(request, ending, worker, 100, 0);
    }

    private void apply(CrashNotice notice, long nowNanos) {
        quarantine.applyNotice(notice, nowNanos);
    }
}
