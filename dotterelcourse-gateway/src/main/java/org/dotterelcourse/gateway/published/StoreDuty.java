package org.dotterelcourse.gateway.published;

/**
 * Whether this process has to follow the platform's store itself, or may rely on peers that do. Used on one thread only.
 *
 * <p>It answers the growth of a fleet: each change of any worker ends a waiting call of every process that follows, so
 * that 59 processes made 190 calls a second while 101 workers started. So one process of each data centre follows on
 * behalf of the others, and the others rest while they hear that somebody does. One that hears of nobody, or that stays
 * behind what peers know, follows by itself: it may be cut off from its peers and not from the store, or the messages
 * with the changes may get lost on a connection that has gone silent.
 */
public final class StoreDuty {
    private static final long MILLISECOND = 1_000_000L;

    /**
     * How long ago a follower may have had its last answer from the store, as far as this process knows. A waiting call is
     * answered after a second at the latest, a report comes each half second at least; and changes must be in force within
     * two seconds, of which one read of the store takes some 20 ms. A follower that is cut off from the store goes on
     * saying when it last had an answer, so that its word runs out by itself.
     */
    private static final long HEARD_NANOS = 1_600 * MILLISECOND;

    /** How long a process may stay behind: asking a peer takes a few milliseconds and is tried first. */
    private static final long BEHIND_NANOS = 400 * MILLISECOND;

    /** Processes that may ask a store that is away twice a second each; more of them take turns. */
    private static final int ASKING = 8;

    private final News follower = new News();
    private final News onTask = new News();
    private final News answered = new News();
    private boolean task;
    private boolean follows;
    private boolean behind;
    private long behindNanos;

    /** When something was last known to be so. */
    private static final class News {
        private boolean any;
        private long atNanos;

        void at(long nanos) {
            atNanos = any ? Math.max(atNanos, nanos) : nanos;
            any = true;
        }

        boolean fresh(long nowNanos) {
            return any && nowNanos - atNanos < HEARD_NANOS;
        }

        /** Milliseconds since then, -1 if that is too long ago. */
        long millis(long nowNanos) {
            return fresh(nowNanos) ? Math.max(0, nowNanos - atNanos) / MILLISECOND : -1;
        }
    }

    /**
     * Whether it is this process's task to follow on behalf of others.
     *
     * @param isTask true if so
     */
    public void task(boolean isTask) {
        task = isTask;
    }

    /**
     * A peer has said that some process follows.
     *
     * @param atNanos when that process was known to follow, on this process's clock
     */
    public void followerHeard(long atNanos) {
        follower.at(atNanos);
    }

    /**
     * A peer has said that some process follows whose task that is.
     *
     * @param atNanos when that process was known to follow, on this process's clock
     */
    public void followerOnTaskHeard(long atNanos) {
        onTask.at(atNanos);
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
    public void answered(long nowNanos) {
        follows = true;
        answered.at(nowNanos);
    }

    /** The store has not answered this process, or is no longer asked. */
    public void unanswered() {
        follows = false;
    }

    /**
     * Whether to call the store.
     *
     * @param nowNanos the time
     * @return false if others do
     */
    public boolean mustFollow(long nowNanos) {
        // One that follows stops only for one whose task it is: two that are no more than helpers would stop for each
        // other.
        boolean covered = follows ? onTask.fresh(nowNanos) : follower.fresh(nowNanos);
        boolean lost = behind && nowNanos - behindNanos > BEHIND_NANOS;
        return task || !covered || lost;
    }

    /**
     * How long to wait before a store that doesn't answer is asked again.
     *
     * @param pauseMillis the pause of a small fleet
     * @param processes processes of the fleet, as far as this one hears of them
     * @return a longer pause if there are many, since the first that gets an answer tells the others
     */
    public static long pauseMillis(long pauseMillis, int processes) {
        return pauseMillis * Math.max(1, processes / ASKING);
    }

    /**
     * Since when it is known that some process follows.
     *
     * @param nowNanos the time
     * @return milliseconds, -1 if that is too long ago
     */
    public long followerMillis(long nowNanos) {
        return own(nowNanos) >= 0 ? own(nowNanos) : follower.millis(nowNanos);
    }

    /**
     * Since when it is known that a process follows whose task that is.
     *
     * @param nowNanos the time
     * @return milliseconds, -1 if that is too long ago
     */
    public long followerOnTaskMillis(long nowNanos) {
        return task && own(nowNanos) >= 0 ? own(nowNanos) : onTask.millis(nowNanos);
    }

    private long own(long nowNanos) {
        return follows ? answered.millis(nowNanos) : -1;
    }
}
