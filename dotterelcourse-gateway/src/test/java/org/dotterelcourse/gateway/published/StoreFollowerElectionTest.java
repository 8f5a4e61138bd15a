package org.dotterelcourse.gateway.published;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreFollowerElectionTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final long REPORT_TTL_MILLIS = 1_500;
    private static final int FLEET_SIZE = 95;
    private static final int FOLLOWERS = 2;

    private final StoreFollowerElection election = electionOfRank(4);

    private static StoreFollowerElection electionOfRank(int rank) {
        StoreFollowerElection election = new StoreFollowerElection(DEADLINE, 0);
        election.updateRanking(rank, IntStream.range(0, FLEET_SIZE).boxed().toList(), FOLLOWERS);
        report(election, rank, 0);
        return election;
    }

    // A whole fleet starts. If each process polled the store before it receives reports of the others, each worker that
    // starts as well would cause a call of every process.
    @Test
    void aProcessWithoutReportsOfPeersFollowsTheStoreAfterADelay() {
        StoreFollowerElection alone = new StoreFollowerElection(DEADLINE, 0);
        assertThat(alone.shouldFollow(0)).isFalse();
        assertThat(alone.shouldFollow(249 * NANOS_PER_MILLI)).isFalse();
        assertThat(alone.shouldFollow(250 * NANOS_PER_MILLI)).isTrue();
    }

    @Test
    void theProcessesOfBestRankFollowRegardlessOfOtherFollowers() {
        for (int rank = 0; rank < FOLLOWERS; rank++) {
            StoreFollowerElection first = electionOfRank(rank);
            IntStream.range(0, FLEET_SIZE).forEach(id -> report(first, id, 0));
            assertThat(first.shouldFollow(0)).isTrue();
        }
        report(election, 0, 0);
        report(election, 1, 0);
        assertThat(election.shouldFollow(0)).isFalse();
    }

    // Both followers are killed just before a key is revoked. The other processes must read the store within the
    // deadline, or they continue to accept the key.
    @Test
    void aProcessReliesOnFollowersOnlyWhileTheirReportsAreValid() {
        report(election, 0, 0);
        report(election, 1, 0);
        assertThat(election.shouldFollow((REPORT_TTL_MILLIS - 1) * NANOS_PER_MILLI))
                .isFalse();
        assertThat(election.shouldFollow(REPORT_TTL_MILLIS * NANOS_PER_MILLI)).isFalse();
        assertThat(election.shouldFollow((REPORT_TTL_MILLIS + 100) * NANOS_PER_MILLI))
                .isTrue();
    }

    // Followers are lost. If all other processes polled the store at once, a store that rejects some processes would
    // get calls of all those that it accepts, for as long as it rejects the others.
    @Test
    void processesTakeOverInGroupsAndTheLastGroupStillMeetsTheDeadline() {
        int previous = 0;
        for (int rank = 0; rank < FLEET_SIZE; rank++) {
            StoreFollowerElection other = electionOfRank(rank);
            other.shouldFollow(0);
            int delay = takeoverDelayMillis(other);
            assertThat(delay).isGreaterThanOrEqualTo(previous);
            assertThat(REPORT_TTL_MILLIS + delay).isLessThan(DEADLINE.toMillis() - 150);
            previous = delay;
        }
        assertThat(takeoverDelayMillis(electionOfRank(FOLLOWERS + 1))).isPositive();
    }

    private static int takeoverDelayMillis(StoreFollowerElection other) {
        other.shouldFollow(0);
        return IntStream.range(0, (int) DEADLINE.toMillis())
                .filter(millis -> other.shouldFollow(millis * NANOS_PER_MILLI))
                .findFirst()
                .orElseThrow();
    }

    // When the next answer of a follower is reported, the previous one is as old as a long poll, the delay between two
    // and three report periods. If reports expired earlier, other processes would take over again and again without
    // need.
    @Test
    void theReportOfAFollowerThatWaitsInALongPollDoesNotExpire() {
        long oldest = election.longPollTimeout().plus(election.batchDelay()).toMillis() + 300;
        assertThat(oldest).isLessThan(REPORT_TTL_MILLIS);
    }

    // Changes get lost on a broken connection between two processes, while load reports still arrive.
    @Test
    void aProcessThatKeepsLaggingBehindItsPeersFollows() {
        report(election, 0, 0);
        report(election, 1, 0);
        election.recordStaleness(true, 0);
        assertThat(election.shouldFollow(300 * NANOS_PER_MILLI)).isFalse();
        election.recordStaleness(true, 300 * NANOS_PER_MILLI);
        assertThat(election.shouldFollow(500 * NANOS_PER_MILLI)).isTrue();
        election.recordStaleness(false, 500 * NANOS_PER_MILLI);
        assertThat(election.shouldFollow(500 * NANOS_PER_MILLI)).isFalse();
    }

    // The store rejects the processes of best rank, and others have taken over. The best ranked of these must continue;
    // if each stopped because of the others, no process would follow.
    @Test
    void theBestRankedOfTheProcessesThatHaveTakenOverContinue() {
        StoreFollowerElection fifth = electionOfRank(5);
        for (StoreFollowerElection member : List.of(election, fifth)) {
            member.shouldFollow(0);
            member.recordStoreAnswer(0);
            report(member, 7, 0);
            report(member, 8, 0);
        }
        report(fifth, 4, 0);
        report(election, 5, 0);
        assertThat(election.shouldFollow(0)).isTrue();
        assertThat(fifth.shouldFollow(0)).isTrue();
        report(fifth, 3, 0);
        assertThat(fifth.shouldFollow(0)).isFalse();
    }

    @Test
    void onlyTheBestRankedFollowersAreReportedWithTheAgeOfTheirAnswers() {
        assertThat(electionOfRank(4).followers(0)).isEmpty();
        report(election, 9, 0);
        report(election, 8, 100 * NANOS_PER_MILLI);
        report(election, 7, 0);
        assertThat(election.followers(700 * NANOS_PER_MILLI))
                .containsExactly(
                        new StoreFollowerElection.Follower(7, 1, 700), new StoreFollowerElection.Follower(8, 1, 600));
        assertThat(election.followers((REPORT_TTL_MILLIS + 99) * NANOS_PER_MILLI))
                .containsExactly(new StoreFollowerElection.Follower(8, 1, REPORT_TTL_MILLIS - 1));
    }

    // A follower is disconnected from the store and its long poll hangs. Its reported age must increase meanwhile, or
    // the others rely on it until the call's time-out.
    @Test
    void theAgeOfAFollowerIsThatOfItsLastAnswer() {
        election.recordStoreAnswer(0);
        assertThat(election.followers(900 * NANOS_PER_MILLI))
                .containsExactly(new StoreFollowerElection.Follower(4, 1, 900));
        assertThat(election.followers(REPORT_TTL_MILLIS * NANOS_PER_MILLI)).isEmpty();
        election.stopFollowing();
        assertThat(election.followers(900 * NANOS_PER_MILLI)).isEmpty();
    }

    @Test
    void anAnswerIsReportedToPeersWithTheNextReport() {
        election.recordStoreAnswer(5);
        assertThat(election.hasChangedSince(4)).isTrue();
        assertThat(election.hasChangedSince(5)).isFalse();
        report(election, 0, 7);
        assertThat(election.hasChangedSince(5)).isTrue();
        report(election, 0, 9);
        assertThat(election.hasChangedSince(7)).isFalse();
    }

    // A follower has died, and busy processes continue to report its last answer to each other. Each report is in
    // transit for 50 ms, which would make the answer appear as recent as before, so that no process would take over.
    @Test
    void repeatedReportsDoNotExtendTheValidityOfADeadFollower() {
        election.recordFollower(new StoreFollowerElection.Follower(0, 5, 0), 0);
        election.recordFollower(new StoreFollowerElection.Follower(1, 5, 0), 0);
        election.shouldFollow(0);
        for (long millis = 100; millis < REPORT_TTL_MILLIS; millis += 100) {
            election.recordFollower(new StoreFollowerElection.Follower(0, 5, millis - 50), millis * NANOS_PER_MILLI);
        }
        assertThat(election.followers(REPORT_TTL_MILLIS * NANOS_PER_MILLI)).isEmpty();
        election.shouldFollow(REPORT_TTL_MILLIS * NANOS_PER_MILLI);
        election.recordFollower(
                new StoreFollowerElection.Follower(0, 5, REPORT_TTL_MILLIS - 50), REPORT_TTL_MILLIS * NANOS_PER_MILLI);
        assertThat(election.followers(REPORT_TTL_MILLIS * NANOS_PER_MILLI)).isEmpty();
    }

    @Test
    void answersAfterARestartAreNewerThanThoseBefore() {
        StoreFollowerElection before = new StoreFollowerElection(DEADLINE, 1_000);
        before.recordStoreAnswer(0);
        StoreFollowerElection after = new StoreFollowerElection(DEADLINE, 2_000);
        after.recordStoreAnswer(0);
        assertThat(after.followers(0).get(0).answer())
                .isGreaterThan(before.followers(0).get(0).answer());
    }

    /** Reports the first answer of a process, received at the given time. */
    private static void report(StoreFollowerElection election, int id, long atNanos) {
        election.recordFollower(new StoreFollowerElection.Follower(id, 1, 0), atNanos);
    }

    // The store is unavailable. If each process retried as often as a single one, the store would get two calls per
    // second from each process.
    @Test
    void aLargeFleetLimitsItsRetriesOfAnUnavailableStore() {
        int calls = 0;
        for (int rank = 0; rank < FLEET_SIZE; rank++) {
            StoreFollowerElection other = electionOfRank(rank);
            long millis = other.retryDelayMillis(500, 1);
            for (int failures = 2; millis < 60_000; failures++) {
                calls++;
                millis += other.retryDelayMillis(500, failures);
            }
        }
        assertThat(calls).isBetween(60 * 7, 60 * 9);
        StoreFollowerElection alone = new StoreFollowerElection(DEADLINE, 0);
        assertThat(alone.retryDelayMillis(500, 1)).isEqualTo(500);
        assertThat(alone.retryDelayMillis(500, 9)).isEqualTo(500);
    }
}
