package org.dotterelcourse.policy.cell;

/**
 * A worker's own word about its load. It lags behind the truth and may be missing.
 *
 * @param worker the worker's name
 * @param measuredNanos when it was true
 * @param running requests in its batch
 * @param waiting requests that wait at the worker
 */
public record WorkerReport(String worker, long measuredNanos, int running, int waiting) {}
