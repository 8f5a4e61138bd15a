package org.dotterelcourse.gateway.published;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides whether this process polls the platform's store itself (is a follower) or relies on peers that relay changes.
 * Not thread-safe.
 *
 * <p>Answers the growth of a fleet: each change of any worker ends a long poll of every follower, so that 59 processes
 * made 190 calls a second while 101 workers started. Therefore only the first few processes of a ranking on which all
 * agree follow the store, and the others rely on them while reports show enough followers of better rank. A process
 * that learns of too few followers, or that keeps lagging behind its peers, follows the store by itself: the followers
 * may have been lost or be rejected by the store, the process may be disconnected from its peers but not from the
 * store, or messages with changes may get lost on a broken connection.
 *
 * <p>After a loss of followers, candidates take over in groups that double in size. If all processes began at once, a
 * store that rejects some processes would be polled by all others until it accepts these again.
 */
public final class StoreFollowerElection {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time-out of a long poll as a fraction of the propagation deadline, so that a hung call is noticed within it. */
    private static final double LONG_POLL_FRACTION = 0.5;

    /**
     * Delay between two long polls as a fraction of the propagation deadline. While workers start or are replaced, each
     * change would otherwise end a call; with the delay, one call returns a batch of changes.
     */
    private static final double BATCH_FRACTION = 0.05;

    /**
     * How long a report of a follower is valid, as a fraction of the propagation deadline. Its last answer may be as
     * old as a long poll and the delay between two, and the report takes up to 0.3 s to arrive.
     */
    private static final double REPORT_TTL_FRACTION = 0.75;

    /**
     * Delay between two groups of candidates while no follower is known, as a fraction of the propagation deadline. The
     * seventh group, the last one of 250 processes, still begins within the deadline.
     */
    private static final double TAKEOVER_STEP_FRACTION = 0.025;

    /**
     * Delay between two groups of candidates if a follower is known, or before the first report of a peer. It is
     * longer, because changes still arrive, or because peers are likely to report soon.
     */
    private static final double RELAXED_STEP_FRACTION = 0.125;

    /**
     * How long a process may lag behind its peers before it polls the store. It first requests the changes from a peer,
     * which takes a few milliseconds.
     */
    private static final long MAX_STALE_NANOS = 400 * NANOS_PER_MILLI;

    /**
     * Number of processes that may retry an unavailable store as often as a single process would; a larger fleet
     * retries less often per process. With delays of half a second, the whole fleet makes eight calls a second, and the
     * first successful one is reported to the others.
     */
    private static final int RETRYING_PROCESSES = 4;

    private final long deadlineNanos;
    private final Map<Integer, Answer> lastAnswers = new HashMap<>();
    private final Map<Integer, Integer> ranks = new HashMap<>();
    private int selfId;
    private int followerCount = 1;
    private boolean reportReceived;
    private boolean following;
    private long ownAnswers;
    private long ownAnswerNanos;
    private long lastChangeNanos;
    private boolean stale;
    private long staleSinceNanos;
    private boolean tooFewFollowers;
    private long tooFewSinceNanos;

    /**
     * A process that follows the store, as reported to peers.
     *
     * @param id hash of its name
     * @param answer sequence number of the last answer that it received from the store
     * @param ageMillis time in milliseconds since it received that answer
     */
    public record Follower(int id, long answer, long ageMillis) {}

    /** The last answer of the store to a process, with the time on the clock of this process. */
    private record Answer(long sequence, long atNanos) {}

    /**
     * Creates the election without any other process.
     *
     * @param propagationDeadline time within which changes in the store must take effect
     * @param incarnation number that increases with every start of a process of this name; the sequence numbers of its
     *     answers start there, so that peers don't consider them older than those of the previous process
     */
    public StoreFollowerElection(Duration propagationDeadline, long incarnation) {
        deadlineNanos = propagationDeadline.toNanos();
        ownAnswers = incarnation;
    }

    /**
     * Updates the processes of the fleet.
     *
     * @param ownId hash of this process's name
     * @param ranking ids of all processes, the preferred followers first
     * @param followers number of processes that should follow the store
     */
    public void updateRanking(int ownId, List<Integer> ranking, int followers) {
        selfId = ownId;
        followerCount = followers;
        ranks.clear();
        for (int id : ranking) {
            ranks.putIfAbsent(id, ranks.size());
        }
        lastAnswers.keySet().retainAll(ranks.keySet());
    }

    /**
     * Records a follower that a peer has reported; it may be this process.
     *
     * <p>Only the first report of an answer counts. A later report of the same answer has been in transit for longer,
     * by tens of milliseconds in a busy process, and would make the answer appear more recent. With ten reports a
     * second in each direction, the entry of a dead process would remain valid far beyond its lifetime. For the same
     * reason, entries are kept after they have expired.
     *
     * @param follower the follower, as reported by the peer
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordFollower(Follower follower, long nowNanos) {
        reportReceived = true;
        Answer previous = lastAnswers.get(follower.id());
        if (follower.id() != selfId && (previous == null || previous.sequence() < follower.answer())) {
            lastAnswers.put(
                    follower.id(), new Answer(follower.answer(), nowNanos - follower.ageMillis() * NANOS_PER_MILLI));
            lastChangeNanos = nowNanos;
        }
    }

    /**
     * Records whether a peer has a later position of the store than this process.
     *
     * @param isStale true if some peer has a later position
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordStaleness(boolean isStale, long nowNanos) {
        if (isStale && !stale) {
            staleSinceNanos = nowNanos;
        }
        stale = isStale;
    }

    /**
     * Records an answer of the store to this process, which thereby becomes a follower.
     *
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordStoreAnswer(long nowNanos) {
        following = true;
        ownAnswers++;
        ownAnswerNanos = nowNanos;
        lastChangeNanos = nowNanos;
    }

    /** Records that the store did not answer this process, or that this process no longer polls it. */
    public void stopFollowing() {
        following = false;
    }

    /**
     * Returns whether an answer of the store to any follower has become known since a point in time.
     *
     * @param nanos the point in monotonic time, in nanoseconds
     * @return true if this should be reported to peers
     */
    public boolean hasChangedSince(long nanos) {
        return lastChangeNanos - nanos > 0;
    }

    /**
     * Returns whether this process should poll the store.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return false if enough other processes do
     */
    public boolean shouldFollow(long nowNanos) {
        int ownRank = rank();
        int activeFollowers = 0;
        int preferredFollowers = 0;
        for (Map.Entry<Integer, Answer> entry : lastAnswers.entrySet()) {
            if (isValid(entry.getValue(), nowNanos)) {
                activeFollowers++;
                preferredFollowers += ranks.getOrDefault(entry.getKey(), Integer.MAX_VALUE) < ownRank ? 1 : 0;
            }
        }
        boolean tooFew = preferredFollowers < followerCount;
        if (tooFew && !tooFewFollowers) {
            tooFewSinceNanos = nowNanos;
        }
        tooFewFollowers = tooFew;
        boolean staleTooLong = stale && nowNanos - staleSinceNanos > MAX_STALE_NANOS;
        return staleTooLong
                || tooFew
                        && (following
                                || nowNanos - tooFewSinceNanos >= takeoverDelayNanos(ownRank, activeFollowers > 0));
    }

    private int rank() {
        return ranks.getOrDefault(selfId, 0);
    }

    /** Returns how long after a lack of followers was noticed a process of the given rank takes over. */
    private long takeoverDelayNanos(int rank, boolean hasFollower) {
        if (!reportReceived) {
            return fractionOfDeadline(RELAXED_STEP_FRACTION);
        }
        int group = Integer.SIZE - Integer.numberOfLeadingZeros(rank / followerCount);
        return group * fractionOfDeadline(hasFollower ? RELAXED_STEP_FRACTION : TAKEOVER_STEP_FRACTION);
    }

    private long fractionOfDeadline(double fraction) {
        return (long) (fraction * deadlineNanos);
    }

    /**
     * Returns the active followers, for reports to peers.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the followers of best rank, at most as many as should follow the store
     */
    public List<Follower> followers(long nowNanos) {
        List<Follower> followers = new ArrayList<>();
        lastAnswers.forEach((id, answer) -> addIfValid(followers, id, answer, nowNanos));
        if (following) {
            addIfValid(followers, selfId, new Answer(ownAnswers, ownAnswerNanos), nowNanos);
        }
        followers.sort(Comparator.comparing(follower -> ranks.getOrDefault(follower.id(), Integer.MAX_VALUE)));
        return followers.subList(0, Math.min(followerCount, followers.size()));
    }

    private void addIfValid(List<Follower> followers, int id, Answer answer, long nowNanos) {
        if (isValid(answer, nowNanos)) {
            followers.add(
                    new Follower(id, answer.sequence(), Math.max(0, nowNanos - answer.atNanos()) / NANOS_PER_MILLI));
        }
    }

    private boolean isValid(Answer answer, long nowNanos) {
        return nowNanos - answer.atNanos() < fractionOfDeadline(REPORT_TTL_FRACTION);
    }

    /**
     * Returns the time-out of a long poll of the store. A broken connection is noticed only by this time-out.
     *
     * @return the time-out
     */
    public Duration longPollTimeout() {
        return Duration.ofNanos(fractionOfDeadline(LONG_POLL_FRACTION));
    }

    /**
     * Returns the delay between two long polls, during which changes collect into one batch.
     *
     * @return the delay
     */
    public Duration batchDelay() {
        return Duration.ofNanos(fractionOfDeadline(BATCH_FRACTION));
    }

    /**
     * Returns the delay before an unavailable store is called again. After the first failure it depends on the rank of
     * the process, which spreads processes that fail at the same time; later delays are equal, so they remain spread.
     *
     * @param baseDelayMillis delay in milliseconds that a single process would use
     * @param failures number of consecutive failed calls, including the latest one
     * @return the delay in milliseconds
     */
    public long retryDelayMillis(long baseDelayMillis, int failures) {
        int factor = failures == 1 ? rank() / RETRYING_PROCESSES + 1 : ranks.size() / RETRYING_PROCESSES;
        return baseDelayMillis * Math.max(1, factor);
    }
}
