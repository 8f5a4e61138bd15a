package org.dotterelcourse.coordination.limit;

/**
 * Timeouts and limits of the protocol between {@link LimitClient} and {@link LimitOwner}. All times are in nanoseconds.
 *
 * @param sliceNanos period of use that a requested slice should cover
 * @param answerTimeoutNanos time after which an unanswered request is sent again
 * @param localAfterNanos time without an answer after which a client switches to local mode
 * @param halfLifeNanos half-life of the decay of a client's last share to an equal share in local mode, and of the
 *     leased amounts by which the owner computes the shares
 * @param idleNanos time without calls after which a client returns the rest of its slice
 * @param clientExpiryNanos time without a request after which the owner removes a client and its share
 * @param initialFill level of the token buckets of a new owner as a fraction of the burst, 0 to 1; each change of owner
 *     can add that much to the amount that a customer is charged
 */
public record LimitSettings(
        long sliceNanos,
        long answerTimeoutNanos,
        long localAfterNanos,
        long halfLifeNanos,
        long idleNanos,
        long clientExpiryNanos,
        double initialFill) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The defaults: slices for 500 ms of use, answer timeout 150 ms, local mode after 600 ms, half-life 5 s, idle after
     * 2 s, client expiry 60 s, empty token buckets at a new owner.
     *
     * @return the default settings
     */
    public static LimitSettings defaults() {
        return new LimitSettings(
                500 * NANOS_PER_MILLI,
                150 * NANOS_PER_MILLI,
                600 * NANOS_PER_MILLI,
                5_000 * NANOS_PER_MILLI,
                2_000 * NANOS_PER_MILLI,
                60_000 * NANOS_PER_MILLI,
                0);
    }

    /**
     * Copies the settings with another initial fill level. Without an initial fill, the first calls of each customer
     * are rejected after a change of owner, until the budget has refilled.
     *
     * @param fraction level of the token buckets of a new owner as a fraction of the burst, 0 to 1
     * @return the changed settings
     */
    public LimitSettings withInitialFill(double fraction) {
        return new LimitSettings(
                sliceNanos, answerTimeoutNanos, localAfterNanos, halfLifeNanos, idleNanos, clientExpiryNanos, fraction);
    }
}
