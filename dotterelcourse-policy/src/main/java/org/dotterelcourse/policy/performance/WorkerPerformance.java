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
}
