package org.dotterelcourse.gateway.published;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether this process has to follow the platform's store itself, or may rely on peers that do. Used on one thread only.
 *
 * <p>It answers the growth of a fleet: each change of any worker ends a waiting call of every process that follows, so
 * that 59 processes made 190 calls a second while 101 workers started. So the first few processes of an order on which
 * all agree follow on behalf of the others, who rest while they hear of enough that stand before them. A process that
 * hears of too few, or that stays behind what peers know, follows by itself: those that followed may be lost or turned
 * away by the store, it may be cut off from its peers and not from the store, or messages with changes may get lost on a
 * connection that has gone silent.
 *
 * <p>Those that come into question after a loss begin one after the other, in groups that double. If all began at once,
 * a store that turns some processes away would be called by all others until it takes these back.
 */
public final class StoreFollowerElection {
    private static final long MILLISECOND = 1_000_000L;

    /** A call waits for half of the time within which changes must be in force, so that a silent one is noticed in it. */
    private static final double CALL_PART = 0.5;

    /**
     * Between two calls this part of that time passes: changes come in groups, and each group is then one call. While
     * workers start or are replaced, each of them would end a call.
     */
    private static final double GATHER_PART = 0.05;

    /**
     * What is heard of a follower counts for this part: its last answer may be as old as a call and the time between two,
     * and the word of it travels for up to 0.3 s.
     */
    private static final double FRESH_PART = 0.75;

    /**
     * Between groups that come into question while nobody follows: the seventh group, the last one of 250 processes, still
     * begins within the time.
     */
    private static final double STEP_PART = 0.025;

    /** The same while somebody follows, or before any peer was heard: there is no hurry, and peers will be heard of. */
    private static final double CALM_STEP_PART = 0.125;

    /** How long a process may stay behind: asking a peer takes a few milliseconds and is tried first. */
    private static final long BEHIND_NANOS = 400 * MILLISECOND;

    /**
     * Processes that ask a store that is away as often as one alone would; more of them take turns. With pauses of half a
     * second these are eight calls a second of the whole fleet, and the first that is answered is told on.
     */
    private static final int ASKING = 4;

    private final long boundNanos;
    private final Map<Integer, Word> heard = new HashMap<>();
    private final Map<Integer, Integer> ranks = new HashMap<>();
    private int self;
    private int wanted = 1;
    private boolean met;
    private boolean follows;
    private long answers;
    private long answeredNanos;
    private long newsNanos;
    private boolean behind;
    private long behindNanos;
    private boolean uncovered;
    private long uncoveredNanos;

    /**
     * A process that follows the store, as it is told to peers.
     *
     * @param id stands for its name
     * @param answer number of its last answer of the store
     * @param ageMillis how long ago it had that answer
     */
    public record Follower(int id, long answer, long ageMillis) {}

    /** The last answer that a process had, and when, on this process's clock. */
    private record Word(long answer, long atNanos) {}

    /**
     * Makes a process's duty before it knows any other.
     *
     * @param bound the time within which changes must be in force
     * @param incarnation rises with every start of a process of this name; its answers are counted from there, so that
     *     peers don't take them for older than those of its last life
     */
    public StoreFollowerElection(Duration bound, long incarnation) {
        boundNanos = bound.toNanos();
        answers = incarnation;
    }

    /**
     * The processes of the fleet are known.
     *
     * @param ownId stands for this process's name
     * @param order all processes' ids, the first to follow first
     * @param followers how many are to follow
     */
    public void order(int ownId, List<Integer> order, int followers) {
        self = ownId;
        wanted = followers;
        ranks.clear();
        for (int id : order) {
            ranks.putIfAbsent(id, ranks.size());
        }
        heard.keySet().retainAll(ranks.keySet());
    }

    /**
     * A peer has told of a process that follows, which may be this one.
     *
     * <p>The first word of an answer counts. A later one of the same answer has been longer on its way, in a busy process
     * by tens of milliseconds, and would make it look younger; with ten reports a second to and fro, the word of a process
     * that is gone would live much longer than it may. So words are also kept when they are too old to count.
     *
     * @param follower what the peer said
     * @param nowNanos the time
     */
    public void heard(Follower follower, long nowNanos) {
        met = true;
        Word known = heard.get(follower.id());
        if (follower.id() != self && (known == null || known.answer() < follower.answer())) {
            heard.put(follower.id(), new Word(follower.answer(), nowNanos - follower.ageMillis() * MILLISECOND));
            newsNanos = nowNanos;
        }
    }

    /**
     * Some peer knows more than this process, or none does.
     *
     * @param isBehind whether one does
     * @param nowNanos the time
     */
    public void behind(boolean isBehind, long nowNanos) {
        if (isBehind && !behind) {
            behindNanos = nowNanos;
        }
        behind = isBehind;
    }

    /**
     * The store has answered this process.
     *
     * @param nowNanos the time
     */
    public void recordStoreAnswer(long nowNanos) {
        follows = true;
        answers++;
        answeredNanos = nowNanos;
        newsNanos = nowNanos;
    }

    /** The store has not answered this process, or is no longer asked. */
    public void stopFollowing() {
        follows = false;
    }

    /**
     * Whether something of those that follow has become known since some moment.
     *
     * @param nanos the moment
     * @return true if peers should hear of it
     */
    public boolean newsSince(long nanos) {
        return newsNanos - nanos > 0;
    }

    /**
     * Whether to call the store.
     *
     * @param nowNanos the time
     * @return false if others do
     */
    public boolean shouldFollow(long nowNanos) {
        int own = rank();
        int following = 0;
        int before = 0;
        for (Map.Entry<Integer, Word> each : heard.entrySet()) {
            if (fresh(each.getValue(), nowNanos)) {
                following++;
                before += ranks.getOrDefault(each.getKey(), Integer.MAX_VALUE) < own ? 1 : 0;
            }
        }
        boolean lacking = before < wanted;
        if (lacking && !uncovered) {
            uncoveredNanos = nowNanos;
        }
        uncovered = lacking;
        boolean lost = behind && nowNanos - behindNanos > BEHIND_NANOS;
        return lost || lacking && (follows || nowNanos - uncoveredNanos >= turnNanos(own, following > 0));
    }

    private int rank() {
        return ranks.getOrDefault(self, 0);
    }

    /** How long after too few are known to follow a process's turn comes. */
    private long turnNanos(int rank, boolean anybodyFollows) {
        if (!met) {
            return part(CALM_STEP_PART);
        }
        int group = Integer.SIZE - Integer.numberOfLeadingZeros(rank / wanted);
        return group * part(anybodyFollows ? CALM_STEP_PART : STEP_PART);
    }

    private long part(double part) {
        return (long) (part * boundNanos);
    }

    /**
     * The processes that are known to follow.
     *
     * @param nowNanos the time
     * @return as many as are to follow, the first ones in the order
     */
    public List<Follower> followers(long nowNanos) {
        List<Follower> followers = new ArrayList<>();
        heard.forEach((id, word) -> add(followers, id, word, nowNanos));
        if (follows) {
            add(followers, self, new Word(answers, answeredNanos), nowNanos);
        }
        followers.sort(Comparator.comparing(each -> ranks.getOrDefault(each.id(), Integer.MAX_VALUE)));
        return followers.subList(0, Math.min(wanted, followers.size()));
    }

    private void add(List<Follower> followers, int id, Word word, long nowNanos) {
        if (fresh(word, nowNanos)) {
            followers.add(new Follower(id, word.answer(), Math.max(0, nowNanos - word.atNanos()) / MILLISECOND));
        }
    }

    private boolean fresh(Word word, long nowNanos) {
        return nowNanos - word.atNanos() < part(FRESH_PART);
    }

    /**
     * How long a waiting call to the store may wait. A connection that has gone silent shows only by its timeout.
     *
     * @return the time
     */
    public Duration longPollTimeout() {
        return Duration.ofNanos(part(CALL_PART));
    }

    /**
     * How long to wait between two calls, so that changes that belong together come with one.
     *
     * @return the time
     */
    public Duration batchDelay() {
        return Duration.ofNanos(part(GATHER_PART));
    }

    /**
     * How long to wait before a store that doesn't answer is asked again. Processes that fail at the same moment are
     * spread by their place in the order, and stay so.
     *
     * @param pauseMillis the pause of a process that is alone
     * @param failures calls that have failed one after the other, this one included
     * @return the pause
     */
    public long retryDelayMillis(long pauseMillis, int failures) {
        int turns = failures == 1 ? rank() / ASKING + 1 : ranks.size() / ASKING;
        return pauseMillis * Math.max(1, turns);
    }
}
