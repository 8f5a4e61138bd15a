package org.dotterelcourse.policy.repeat;

/**
 * Whether one worker should be left out, judged by how the requests of all processes lately ended there.
 *
 * <p>It answers a worker that fails half of its requests at once while its health check is good. Once it is left out, its
 * counts of {@link RecentOutcomes} only fade; judged by the count alone it is back within a second, has to fail some
 * requests of many processes anew, and so on for as long as it is ill. So a worker that was left out stays so until its
 * failures are all but forgotten, or successes have come that speak for it.
 */
public final class SharedSuspicion {
    /** Failures of all processes together that one worker must have had: one or two may be chance. */
    private static final double LEAST_FAILED = 2.5;

    /**
     * Failures at which a worker is tried again. Two half-lives after it was left out for the fewest failures: some six
     * seconds, about as long as crashed workers are away.
     */
    private static final double FORGOTTEN = 0.6;

    /** As for one process: well above the failures of services that answer up to 14 in 100 requests with one. */
    private static final double FAILING_SHARE = 0.4;

    /** A worker with successes that leave it below this share is as sound as others. */
    private static final double SOUND_SHARE = 0.25;

    private boolean suspected;

    /**
     * Judges.
     *
     * @param succeeded requests that lately ended well there, of all processes
     * @param failed requests that lately failed there, of all processes
     * @return whether the worker should be left out
     */
    public boolean update(double succeeded, double failed) {
        double share = failed / Math.max(Double.MIN_NORMAL, failed + succeeded);
        if (failed >= LEAST_FAILED && share >= FAILING_SHARE) {
            suspected = true;
        } else if (failed < FORGOTTEN || share < SOUND_SHARE) {
            suspected = false;
        }
        return suspected;
    }
}
