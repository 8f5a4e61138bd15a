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
 */
public record LimitSettings(
        long sliceNanos,
        long answerTimeoutNanos,
        long silentAfterNanos,
        long halfLifeNanos,
        long idleNanos,
        long forgetNanos) {
    private static final long MILLI = 1_000_000L;

    /**
     * The defaults: slices of 500 ms, answer timeout 150 ms, alone after 600 ms, half-life 5 s, idle after 2 s,
     * forgotten after 60 s.
     *
     * @return the settings
     */
    public static LimitSettings defaults() {
        return new LimitSettings(500 * MILLI, 150 * MILLI, 600 * MILLI, 5_000 * MILLI, 2_000 * MILLI, 60_000 * MILLI);
    }
}
