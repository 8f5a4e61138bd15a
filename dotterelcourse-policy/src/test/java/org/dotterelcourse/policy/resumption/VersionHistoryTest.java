package org.dotterelcourse.policy.resumption;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests when all streams of an upstream are known to belong to one software version. */
class VersionHistoryTest {
    private static final long LIFETIME = 30;

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

    // Guards against a conclusion from before a pause of the process, in which another version may have served.
    @Test
    void nothingIsConcludedAfterAPauseUntilTheLifetimeHasPassed() {
        long second = 1_000_000_000L;
        history.add("u", "v1");
        for (long now = second; now <= 4 * second; now += second) {
            history.observe(now);
        }
        assertThat(history.onlyVersion("u", 3 * second, 4 * second)).contains("v1");
        history.observe(5 * second + 1);
        assertThat(history.onlyVersion("u", 3 * second, 5 * second + 1)).isEmpty();
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
