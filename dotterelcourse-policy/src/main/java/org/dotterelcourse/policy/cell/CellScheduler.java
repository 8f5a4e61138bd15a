package org.dotterelcourse.policy.cell;

import java.util.List;

/**
 * Schedules the requests of one cell: holds the queue, grants workers to requests, rejects and preempts requests.
 *
 * <p>A scheduler is a deterministic state machine: every method takes an event with its time and returns the resulting
 * decisions in order. It reads no clock and is not safe for use by several threads at once. Times are nanoseconds of
 * one monotonic clock and must not decrease from call to call.
 */
public interface CellScheduler {
    /**
     * Submits a request. It is granted, rejected or queued; another queued request may be rejected in its place.
     *
     * @param request the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions
     */
    List<CellEffect> offer(CellRequest request, long nowNanos);

    /**
     * Removes a queued request because its caller no longer wants it. Unknown ids are ignored.
     *
     * @param requestId id of the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions
     */
    List<CellEffect> withdraw(String requestId, long nowNanos);

    /**
     * Records progress of a granted request. Unknown grants are ignored.
     *
     * @param grant number of the grant
     * @param outputTokens number of tokens of the answer received so far
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions
     */
    List<CellEffect> progress(long grant, int outputTokens, long nowNanos);

    /**
     * Ends a grant, which frees its slot. Unknown grants are ignored.
     *
     * @param grant number of the grant
     * @param completion outcome, times and token count of the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions
     */
    List<CellEffect> release(long grant, Completion completion, long nowNanos);

    /**
     * Takes over a running request that was granted by the previous scheduler of the cell. It occupies a slot of its
     * worker even if the worker then exceeds its concurrency.
     *
     * @param request the request
     * @param worker name of the worker that runs it; the worker need not be in the published list
     * @param nowNanos current monotonic time in nanoseconds
     * @return number of the grant in this scheduler
     */
    long adopt(CellRequest request, String worker, long nowNanos);

    /**
     * Replaces the list of the workers of the cell.
     *
     * @param workers all workers of the cell, as published
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions
     */
    List<CellEffect> updateWorkers(List<WorkerInfo> workers, long nowNanos);

    /**
     * Records a load report of a worker.
     *
     * @param report the report
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions
     */
    List<CellEffect> recordLoadReport(WorkerReport report, long nowNanos);

    /**
     * Makes the decisions that depend on time alone, such as rejecting expired requests. To be called every few tens of
     * milliseconds.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions
     */
    List<CellEffect> advance(long nowNanos);

    /**
     * The number of queued requests.
     *
     * @return the number of requests that are neither granted nor rejected yet
     */
    int waitingCount();
}
