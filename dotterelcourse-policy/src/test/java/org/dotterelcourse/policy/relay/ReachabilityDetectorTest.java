package org.dotterelcourse.policy.relay;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReachabilityDetectorTest {
    private static final int WORKERS = 16;
    private static final long SECOND = 1_000_000_000L;

    private final ReachabilityDetector detector = new ReachabilityDetector();

    @Test
    void oneWorkerThatRefusesAgainAndAgainIsNoPartition() {
        for (int i = 0; i < WORKERS; i++) {
            assertThat(detector.recordConnectFailure(1, WORKERS, i)).isFalse();
        }
        assertThat(detector.isCutOff()).isFalse();
        assertThat(detector.isSuspicious(WORKERS)).isFalse();
    }

    @Test
    void fiveWorkersThatRefuseInARowAreAPartition() {
        for (int worker = 0; worker < 4; worker++) {
            assertThat(detector.recordConnectFailure(worker, WORKERS, worker)).isFalse();
        }
        assertThat(detector.isSuspicious(4)).isTrue();
        assertThat(detector.recordConnectFailure(4, WORKERS, 4)).isTrue();
        assertThat(detector.isCutOff()).isTrue();
        assertThat(detector.recordConnectFailure(5, WORKERS, 5))
                .as("is reported once")
                .isFalse();
    }

    @Test
    void oneConnectionBetweenTheFailuresDisprovesAPartition() {
        for (int round = 0; round < 3; round++) {
            for (int worker = 0; worker < 4; worker++) {
                detector.recordConnectFailure(worker, WORKERS, round);
            }
            detector.recordConnect(9, WORKERS);
        }
        assertThat(detector.isCutOff()).isFalse();
        assertThat(detector.isSuspicious(3)).isFalse();
    }

    @Test
    void failuresThatAreSecondsApartDoNotAddUp() {
        for (int worker = 0; worker < WORKERS; worker++) {
            detector.recordConnectFailure(worker, WORKERS, worker * SECOND);
        }
        assertThat(detector.isCutOff()).isFalse();
    }

    @Test
    void allWorkersOfASmallFleetThatRefuseAreAPartition() {
        assertThat(detector.recordConnectFailure(1, 2, 0)).isFalse();
        assertThat(detector.recordConnectFailure(2, 2, 0)).isTrue();
        assertThat(detector.recordConnect(1, 2)).isTrue();
    }

    @Test
    void aPartitionEndsWithConnectionsToThreeWorkersAndNoFailureBetween() {
        for (int worker = 0; worker < 5; worker++) {
            detector.recordConnectFailure(worker, WORKERS, 0);
        }
        assertThat(detector.recordConnect(1, WORKERS)).isFalse();
        assertThat(detector.recordConnect(1, WORKERS)).isFalse();
        assertThat(detector.recordConnect(6, WORKERS)).isFalse();
        detector.recordConnectFailure(2, WORKERS, 0);
        assertThat(detector.recordConnect(3, WORKERS)).isFalse();
        assertThat(detector.recordConnect(4, WORKERS)).isFalse();
        assertThat(detector.recordConnect(5, WORKERS)).isTrue();
        assertThat(detector.isCutOff()).isFalse();
    }

    // Guards against a state that changes several times a second while a few workers are reached and most are not.
    @Test
    void aPartitionLastsWhileOneOfThreeProbesFails() {
        for (int worker = 0; worker < 5; worker++) {
            detector.recordConnectFailure(worker, WORKERS, 0);
        }
        for (int i = 0; i < 100; i++) {
            assertThat(detector.recordConnect(1, WORKERS)).isFalse();
            assertThat(detector.recordConnect(2, WORKERS)).isFalse();
            assertThat(detector.recordConnectFailure(3 + i % 10, WORKERS, i)).isFalse();
        }
        assertThat(detector.isCutOff()).isTrue();
    }

    @Property(seed = "46", tries = 200)
    void crashesOfFewerThanFiveWorkersAreNeverAPartition(@ForAll long seed, @ForAll @IntRange(max = 4) int crashed) {
        Random random = new Random(seed);
        ReachabilityDetector each = new ReachabilityDetector();
        for (int i = 0; i < 500; i++) {
            int worker = random.nextInt(WORKERS);
            if (worker < crashed) {
                each.recordConnectFailure(worker, WORKERS, i);
            } else {
                each.recordConnect(worker, WORKERS);
            }
            assertThat(each.isCutOff()).isFalse();
        }
    }

    @Property(seed = "47", tries = 200)
    void aCutIsDetectedAndItsEndTooInAnyOrderOfWorkers(@ForAll long seed) {
        Random random = new Random(seed);
        ReachabilityDetector each = new ReachabilityDetector();
        for (int i = 0; i < 500; i++) {
            each.recordConnectFailure(random.nextInt(WORKERS), WORKERS, i);
        }
        assertThat(each.isCutOff()).isTrue();
        for (int i = 0; i < 500; i++) {
            each.recordConnect(random.nextInt(WORKERS), WORKERS);
        }
        assertThat(each.isCutOff()).isFalse();
    }
}
