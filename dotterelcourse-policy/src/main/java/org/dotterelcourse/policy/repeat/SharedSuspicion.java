package org.dotterelcourse.policy.repeat;

/**
 * Outlier detection for one worker, based on the outcomes that all processes have recently seen there. It has hysteresis:
 * the thresholds that end a suspicion are lower than those that start it.
 *
 * <p>It handles a worker that fails half of its requests while its health check passes. Once the worker is avoided, its
 * counts of {@link RecentOutcomes} only decay. With a single threshold, it would be used again within a second, would have
 * to fail requests of many processes once more, and so on for as long as it is faulty. A suspected worker therefore stays
 * suspected until its failures have decayed almost completely or enough requests have succeeded.
 */
public final class SharedSuspicion {
    /** Failures over all processes that start a suspicion: one or two may be chance. */
    private static final double MIN_FAILURES = 2.5;

    /**
     * Failures below which a suspicion ends. They are reached two half-lives after a suspicion that started with the fewest
     * failures, that is, after about six seconds, about as long as crashed workers are absent.
     */
    private static final double RECOVERY_FAILURES = 0.6;

    /**
     * Share of failures that starts a suspicion, the same as in {@link LocalSuspicion}: well above that of services that
     * answer up to 14 in 100 requests with an error.
     */
    private static final double FAILING_SHARE = 0.4;

    /** Share of failures below which a suspicion ends, because the worker is then as healthy as others. */
    private static final double HEALTHY_SHARE = 0.25;

    private boolean suspected;

    /**
     * Updates the suspicion from the current counts.
     *
     * @param successes decayed count of successful requests at the worker, over all processes
     * @param failures decayed count of failed requests at the worker, over all processes
     * @return true if the worker should be avoided
     */
    public boolean update(double successes, double failures) {
        double share = failures / Math.max(Double.MIN_NORMAL, failures + successes);
        if (failures >= MIN_FAILURES && share >= FAILING_SHARE) {
            suspected = true;
        } else if (failures < RECOVERY_FAILURES || share < HEALTHY_SHARE) {
            suspected = false;
        }
        return suspected;
    }

    /**
     * Whether the worker is suspected, as of the last update.
     *
     * @return false before the first update
     */
    public boolean isSuspected() {
        return suspected;
    }
}
