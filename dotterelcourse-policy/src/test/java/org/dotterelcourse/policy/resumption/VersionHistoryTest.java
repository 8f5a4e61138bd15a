package org.dotterelcourse.policy.resumption;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests when all streams of an upstream are known to belong to one software version. */
class VersionHistoryTest {
    private static final long LIFETIME = 30;

    private static final long SECOND = 1_000_000_000L;

    private final VersionHistory history = new VersionHistory();

    @Test
    void aVersionIsTheOnlyOneAfterItWasObservedForTheLifetimeOfAStream() {
        history.add("u", "v1");
        assertThat(history.onlyVersion("u", LIFETIME, 1_000)).isEmpty();
        history.beginObservation(1_000);
        assertThat(history.onlyVersion("u", LIFETIME, 1_029)).isEmpty();
        assertThat(history.onlyVersion("u", LIFETIME, 1_030)).contains("v1");
        assertThat(history.isAmbiguous("u", LIFETIME, 1_030)).isFalse();
    }

    // Guards against an upstream that had two versions a moment ago and is taken for one of a single version.
    @Test
    void aVersionThatServedAMomentAgoStillCounts() {
        history.beginObservation(0);
        history.add("u", "v1");
        history.add("u", "v1");
        history.add("u", "v2");
        history.remove("u", "v1", 100);
        assertThat(history.onlyVersion("u", LIFETIME, 200)).isEmpty();
        history.remove("u", "v1", 300);
        assertThat(history.onlyVersion("u", LIFETIME, 330)).isEmpty();
        assertThat(history.onlyVersion("u", LIFETIME, 331)).contains("v2");
    }

    // Guards against a process that has seen two versions and does not contradict one that has missed the second.
    @Test
    void aVersionThatServedAMomentAgoContradictsAnOnlyOne() {
        history.add("u", "v1");
        assertThat(history.hasSeveral("u", LIFETIME, 0)).isFalse();
        history.add("u", "v2");
        assertThat(history.hasSeveral("u", LIFETIME, 0)).isTrue();
        history.remove("u", "v2", 100);
        assertThat(history.hasSeveral("u", LIFETIME, 130)).isTrue();
        assertThat(history.hasSeveral("u", LIFETIME, 131)).isFalse();
        assertThat(history.hasSeveral("other", LIFETIME, 0)).isFalse();
    }

    // Guards against a process that was paused and has missed a version that began meanwhile.
    @Test
    void anInterruptedObservationBeginsAnew() {
        history.beginObservation(0);
        history.add("u", "v1");
        history.beginObservation(500);
        assertThat(history.onlyVersion("u", LIFETIME, 529)).isEmpty();
        assertThat(history.onlyVersion("u", LIFETIME, 530)).contains("v1");
    }

    @Test
    void theOnlySeenVersionNeedsNoTimeOfObservation() {
        history.add("u", "v1");
        assertThat(history.onlySeenVersion("u", LIFETIME, 0)).contains("v1");
        history.add("u", "v2");
        assertThat(history.onlySeenVersion("u", LIFETIME, 0)).isEmpty();
        history.remove("u", "v2", 10);
        assertThat(history.onlySeenVersion("u", LIFETIME, 40)).isEmpty();
        assertThat(history.onlySeenVersion("u", LIFETIME, 41)).contains("v1");
    }

    @Test
    void anUnknownVersionIsNotTheOnlyOne() {
        history.beginObservation(0);
        history.add("u", "");
        assertThat(history.onlyVersion("u", LIFETIME, 100)).isEmpty();
        assertThat(history.onlyVersion("another", LIFETIME, 100)).isEmpty();
    }

    @Test
    void upstreamsAreIndependent() {
        history.beginObservation(0);
        history.add("u", "v1");
        history.add("w", "v2");
        assertThat(history.onlyVersion("u", LIFETIME, 100)).contains("v1");
        assertThat(history.onlyVersion("w", LIFETIME, 100)).contains("v2");
    }

    // Guards against a conclusion from before a long pause of the process, in which another version may have served.
    @Test
    void nothingIsConcludedAfterALongPauseUntilTheLifetimeHasPassed() {
        observeFor(10 * SECOND);
        assertThat(history.onlyVersion("u", 10 * SECOND, 10 * SECOND)).contains("v1");
        long resumed = 14 * SECOND + 1;
        observe(resumed, 10 * SECOND - 1);
        assertThat(history.onlyVersion("u", 10 * SECOND, resumed + 10 * SECOND - 1))
                .isEmpty();
        observe(resumed, 10 * SECOND);
        assertThat(history.onlyVersion("u", 10 * SECOND, resumed + 10 * SECOND)).contains("v1");
    }

    // Guards against a conclusion from before a pause, while the notices that arrived in it are not read yet.
    @Test
    void nothingIsConcludedForAMomentAfterAShortPause() {
        observeFor(10 * SECOND);
        long resumed = 11 * SECOND + 1;
        history.observe(resumed);
        assertThat(history.onlyVersion("u", 10 * SECOND, resumed)).isEmpty();
        assertThat(history.onlyVersion("u", 10 * SECOND, resumed + SECOND / 2 - 1))
                .isEmpty();
        assertThat(history.catchUpNanos(resumed + SECOND / 4)).isEqualTo(SECOND / 4);
        history.observe(resumed + SECOND / 2);
        assertThat(history.onlyVersion("u", 10 * SECOND, resumed + SECOND / 2)).contains("v1");
    }

    // Guards against streams that are refused for long because their routers stood still for a moment.
    @Test
    void aVoucherSurvivesAShortPause() {
        history.add("u", "v1");
        history.observe(0);
        history.vouch("u", "v1");
        long resumed = 3 * SECOND;
        history.observe(resumed);
        history.observe(resumed + SECOND / 2);
        assertThat(history.onlyVersion("u", 10 * SECOND, resumed + SECOND / 2)).contains("v1");
    }

    // Guards against several pauses in a row that count as short ones, while changes never become known.
    @Test
    void pausesInARowCountAsOne() {
        observeFor(10 * SECOND);
        history.observe(12 * SECOND);
        history.observe(12 * SECOND + SECOND / 2);
        history.observe(14 * SECOND + 1);
        history.observe(15 * SECOND);
        assertThat(history.onlyVersion("u", 10 * SECOND, 15 * SECOND)).isEmpty();
        assertThat(history.onlyVersion("u", 10 * SECOND, 24 * SECOND)).isEmpty();
    }

    // Guards against a second version that becomes known after a pause only.
    @Test
    void aVersionThatAppearedInAPauseEndsTheConclusion() {
        observeFor(10 * SECOND);
        history.observe(12 * SECOND);
        history.add("u", "v2");
        history.remove("u", "v1", 12 * SECOND);
        history.observe(13 * SECOND);
        assertThat(history.onlyVersion("u", 10 * SECOND, 13 * SECOND)).isEmpty();
    }

    /** Publishes a version and observes it from 0 on. */
    private void observeFor(long nanos) {
        history.add("u", "v1");
        history.observe(0);
        observe(0, nanos);
    }

    private void observe(long fromNanos, long nanos) {
        for (long now = fromNanos; now < fromNanos + nanos; now += SECOND / 4) {
            history.observe(now);
        }
        history.observe(fromNanos + nanos);
    }

    // Guards against a process that knows nothing after a planned restart although its peers have observed for long.
    @Test
    void aPeerVouchesForTheOnlyVersionThatThisProcessHasSeenToo() {
        history.beginObservation(0);
        history.add("u", "v1");
        assertThat(history.unprovenUpstreams(LIFETIME, 1)).containsExactly("u");
        history.vouch("u", "v1");
        assertThat(history.onlyVersion("u", LIFETIME, 1)).contains("v1");
        assertThat(history.unprovenUpstreams(LIFETIME, 1)).isEmpty();
        history.add("u", "v2");
        assertThat(history.onlyVersion("u", LIFETIME, 2)).isEmpty();
    }

    @Test
    void aVoucherForAnotherVersionOrFromBeforeAPauseProvesNothing() {
        history.beginObservation(0);
        history.add("u", "v1");
        history.vouch("u", "v2");
        assertThat(history.onlyVersion("u", LIFETIME, 1)).isEmpty();
        history.vouch("u", "v1");
        history.beginObservation(10);
        assertThat(history.onlyVersion("u", LIFETIME, 11)).isEmpty();
    }
}
