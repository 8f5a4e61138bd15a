package org.dotterelcourse.gateway.published;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreFollowerElectionTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final Duration BOUND = Duration.ofSeconds(2);
    private static final long FRESH_MILLIS = 1_500;
    private static final int FLEET = 95;
    private static final int FOLLOWERS = 2;

    private final StoreFollowerElection election = member(4);

    private static StoreFollowerElection member(int rank) {
        StoreFollowerElection election = new StoreFollowerElection(BOUND, 0);
        election.order(rank, IntStream.range(0, FLEET).boxed().toList(), FOLLOWERS);
        hear(election, rank, 0);
        return election;
    }

    // A whole fleet starts. If each process followed before it hears of the others, the store would get a call of each
    // for every worker that starts too.
    @Test
    void aProcessThatHasHeardOfNobodyFollowsTheStoreAfterAMoment() {
        StoreFollowerElection alone = new StoreFollowerElection(BOUND, 0);
        assertThat(alone.shouldFollow(0)).isFalse();
        assertThat(alone.shouldFollow(249 * MILLISECOND)).isFalse();
        assertThat(alone.shouldFollow(250 * MILLISECOND)).isTrue();
    }

    @Test
    void theFirstProcessesFollowWhateverTheyHear() {
        for (int rank = 0; rank < FOLLOWERS; rank++) {
            StoreFollowerElection first = member(rank);
            IntStream.range(0, FLEET).forEach(id -> hear(first, id, 0));
            assertThat(first.shouldFollow(0)).isTrue();
        }
        hear(election, 0, 0);
        hear(election, 1, 0);
        assertThat(election.shouldFollow(0)).isFalse();
    }

    // Both processes that follow are killed just before a key is taken away. The others must read the store in time, or
    // the key goes on being served.
    @Test
    void aProcessRestsOnlyWhileItHearsThatOthersFollow() {
        hear(election, 0, 0);
        hear(election, 1, 0);
        assertThat(election.shouldFollow((FRESH_MILLIS - 1) * MILLISECOND)).isFalse();
        assertThat(election.shouldFollow(FRESH_MILLIS * MILLISECOND)).isFalse();
        assertThat(election.shouldFollow((FRESH_MILLIS + 100) * MILLISECOND)).isTrue();
    }

    // Followers are lost. If all others called the store at once, a store that turns some away would get the calls of
    // all
    // that it serves, for as long as it does so.
    @Test
    void processesComeIntoQuestionOneGroupAfterTheOtherAndTheLastStillInTime() {
        int before = 0;
        for (int rank = 0; rank < FLEET; rank++) {
            StoreFollowerElection one = member(rank);
            one.shouldFollow(0);
            int turn = turnMillis(one);
            assertThat(turn).isGreaterThanOrEqualTo(before);
            assertThat(FRESH_MILLIS + turn).isLessThan(BOUND.toMillis() - 150);
            before = turn;
        }
        assertThat(turnMillis(member(FOLLOWERS + 1))).isPositive();
    }

    private static int turnMillis(StoreFollowerElection one) {
        one.shouldFollow(0);
        return IntStream.range(0, (int) BOUND.toMillis())
                .filter(millis -> one.shouldFollow(millis * MILLISECOND))
                .findFirst()
                .orElseThrow();
    }

    // What a follower says of itself is as old as a whole call and the time between two calls, and has been under way
    // for
    // three periods of reports, when the next one comes. If that were too old, others would begin to follow all day.
    @Test
    void theWordOfAFollowerThatOnlyWaitsDoesNotRunOut() {
        long oldest = election.longPollTimeout().plus(election.batchDelay()).toMillis() + 300;
        assertThat(oldest).isLessThan(FRESH_MILLIS);
    }

    // Changes get lost on a connection between two processes that has gone silent, while reports still come.
    @Test
    void aProcessThatStaysBehindFollowsByItself() {
        hear(election, 0, 0);
        hear(election, 1, 0);
        election.behind(true, 0);
        assertThat(election.shouldFollow(300 * MILLISECOND)).isFalse();
        election.behind(true, 300 * MILLISECOND);
        assertThat(election.shouldFollow(500 * MILLISECOND)).isTrue();
        election.behind(false, 500 * MILLISECOND);
        assertThat(election.shouldFollow(500 * MILLISECOND)).isFalse();
    }

    // The store turns away the first processes of the order. Some others have taken over; of these too the first ones
    // go
    // on, and if each stopped because of the other, nobody would follow.
    @Test
    void ofThoseThatHaveTakenOverTheFirstGoOn() {
        StoreFollowerElection fifth = member(5);
        for (StoreFollowerElection each : List.of(election, fifth)) {
            each.shouldFollow(0);
            each.recordStoreAnswer(0);
            hear(each, 7, 0);
            hear(each, 8, 0);
        }
        hear(fifth, 4, 0);
        hear(election, 5, 0);
        assertThat(election.shouldFollow(0)).isTrue();
        assertThat(fifth.shouldFollow(0)).isTrue();
        hear(fifth, 3, 0);
        assertThat(fifth.shouldFollow(0)).isFalse();
    }

    @Test
    void theAgeOfWhatWasHeardIsToldOnOfTheFirstOnesOnly() {
        assertThat(member(4).followers(0)).isEmpty();
        hear(election, 9, 0);
        hear(election, 8, 100 * MILLISECOND);
        hear(election, 7, 0);
        assertThat(election.followers(700 * MILLISECOND))
                .containsExactly(
                        new StoreFollowerElection.Follower(7, 1, 700), new StoreFollowerElection.Follower(8, 1, 600));
        assertThat(election.followers((FRESH_MILLIS + 99) * MILLISECOND))
                .containsExactly(new StoreFollowerElection.Follower(8, 1, FRESH_MILLIS - 1));
    }

    // The process that follows is cut off from the store, and its waiting call hangs. What it tells the others must get
    // old meanwhile, or they rely on it until the call's timeout.
    @Test
    void aFollowersWordIsAsOldAsItsLastAnswer() {
        election.recordStoreAnswer(0);
        assertThat(election.followers(900 * MILLISECOND))
                .containsExactly(new StoreFollowerElection.Follower(4, 1, 900));
        assertThat(election.followers(FRESH_MILLIS * MILLISECOND)).isEmpty();
        election.stopFollowing();
        assertThat(election.followers(900 * MILLISECOND)).isEmpty();
    }

    @Test
    void peersHearOfAnAnswerSoon() {
        election.recordStoreAnswer(5);
        assertThat(election.newsSince(4)).isTrue();
        assertThat(election.newsSince(5)).isFalse();
        hear(election, 0, 7);
        assertThat(election.newsSince(5)).isTrue();
        hear(election, 0, 9);
        assertThat(election.newsSince(7)).isFalse();
    }

    // A follower is gone, and busy processes go on telling each other of its last answer. Each time that word has been
    // under way for 50 ms, so that it would look as young as before, and nobody would take over.
    @Test
    void theWordOfAProcessThatIsGoneDoesNotBecomeYoungerByBeingRepeated() {
        election.heard(new StoreFollowerElection.Follower(0, 5, 0), 0);
        election.heard(new StoreFollowerElection.Follower(1, 5, 0), 0);
        election.shouldFollow(0);
        for (long millis = 100; millis < FRESH_MILLIS; millis += 100) {
            election.heard(new StoreFollowerElection.Follower(0, 5, millis - 50), millis * MILLISECOND);
        }
        assertThat(election.followers(FRESH_MILLIS * MILLISECOND)).isEmpty();
        election.shouldFollow(FRESH_MILLIS * MILLISECOND);
        election.heard(new StoreFollowerElection.Follower(0, 5, FRESH_MILLIS - 50), FRESH_MILLIS * MILLISECOND);
        assertThat(election.followers(FRESH_MILLIS * MILLISECOND)).isEmpty();
    }

    @Test
    void aProcessThatStartsAgainIsHeardAtOnce() {
        StoreFollowerElection before = new StoreFollowerElection(BOUND, 1_000);
        before.recordStoreAnswer(0);
        StoreFollowerElection after = new StoreFollowerElection(BOUND, 2_000);
        after.recordStoreAnswer(0);
        assertThat(after.followers(0).get(0).answer())
                .isGreaterThan(before.followers(0).get(0).answer());
    }

    /** The first answer of a process, had at some moment. */
    private static void hear(StoreFollowerElection election, int id, long atNanos) {
        election.heard(new StoreFollowerElection.Follower(id, 1, 0), atNanos);
    }

    // The store is away. Without turns it would get as many calls a second as there are processes, twice.
    @Test
    void manyProcessesTakeTurnsAtAStoreThatIsAway() {
        int calls = 0;
        for (int rank = 0; rank < FLEET; rank++) {
            StoreFollowerElection one = member(rank);
            long millis = one.retryDelayMillis(500, 1);
            for (int failures = 2; millis < 60_000; failures++) {
                calls++;
                millis += one.retryDelayMillis(500, failures);
            }
        }
        assertThat(calls).isBetween(60 * 7, 60 * 9);
        StoreFollowerElection alone = new StoreFollowerElection(BOUND, 0);
        assertThat(alone.retryDelayMillis(500, 1)).isEqualTo(500);
        assertThat(alone.retryDelayMillis(500, 9)).isEqualTo(500);
    }
}
