package org.dotterelcourse.coordination.limit;

/**
 * Times of the limits' protocol, in nanoseconds.
 *
 * @param sliceNanos how much time's worth of use a daemon asks for at once
 * @param answerTimeoutNanos after how long an unanswered want is sent again
 * @param silentAfterNanos after how long without an answer a daemon goes on alone
 * @param halfLifeNanos how fast a daemon alone moves from its last share to an equal one
 * @param idleNanos after how long without calls a daemon gives the rest of a slice back
 * @param forgetNanos after how long without a want the home forgets a daemon's share
 * @param opening the part of a customer's burst that a new home starts with, 0 to 1; each new home can add as much to
 *     what the customer is charged
 */
public record LimitSettings(
        long sliceNanos,
        long answerTimeoutNanos,
        long silentAfterNanos,
        long halfLifeNanos,
        long idleNanos,
        long forgetNanos,
        double opening) {
    private static final long MILLI = 1_000_000L;

    /**
     * The defaults: slices of 500 ms, answer timeout 150 ms, alone after 600 ms, half-life 5 s, idle after 2 s,
     * forgotten after 60 s, and
     * new homes that start empty.
     *
     * @return the settings
     */
    public static LimitSettings defaults() {
        return new LimitSettings(
                500 * MILLI, 150 * MILLI, 600 * MILLI, 5_000 * MILLI, 2_000 * MILLI, 60_000 * MILLI, 0);
    }

    /**
     * The same times with homes that start with a part of the burst. Empty ones refuse the first calls of each customer
     * after a home has changed, until the budget has filled.
     *
     * @param share the part, 0 to 1
     * @return the changed settings
     */
    public LimitSettings withInitialFill(double share) {
        return new LimitSettings(
                sliceNanos, answerTimeoutNanos, silentAfterNanos, halfLifeNanos, idleNanos, forgetNanos, share);
    }
}
