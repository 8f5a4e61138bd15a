package org.dotterelcourse.policy.performance;

/**
 * Estimated speed of one worker.
 *
 * @param slowness duration of work on this worker relative to a worker of nominal speed: 1 if it is as fast, 2 if it takes
 *     twice as long
 * @param stepMillis time of a step in which the engine reads no prompt; 0 if unknown or if the worker is not an engine
 * @param mixedStepMillis time of a step in which the engine also reads a part of a prompt; 0 if unknown
 */
public record WorkerPerformance(double slowness, double stepMillis, double mixedStepMillis) {
    /** Performance of a worker without measurements. */
    public static final WorkerPerformance NOMINAL = new WorkerPerformance(1, 0, 0);

    /**
     * Number of workers of nominal speed that do the same work in the same time.
     *
     * @return capacity relative to a nominal worker, 1 for a worker without measurements
     */
    public double capacity() {
        return 1 / slowness;
    }

    /**
     * Scales a limit of concurrent requests that holds for a worker of nominal speed.
     *
     * @param limit the limit; {@link Integer#MAX_VALUE} stands for none and is not scaled
     * @return the limit for this worker, at least 1
     */
    public int scaledLimit(int limit) {
        return slowness == 1 || limit == Integer.MAX_VALUE ? limit : (int) Math.max(1, Math.round(limit / slowness));
    }
}
