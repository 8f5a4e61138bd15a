package org.dotterelcourse.policy.cell;

/**
 * A load report of a worker. Reports arrive with a delay and may be lost.
 *
 * @param worker name of the worker
 * @param measuredNanos monotonic time in nanoseconds at which the load was measured
 * @param running number of requests in its current batch
 * @param waiting number of requests queued at the worker
 */
public record WorkerReport(String worker, long measuredNanos, int running, int waiting) {}
