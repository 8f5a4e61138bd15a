package org.dotterelcourse.policy.cell;

import java.util.List;

/**
 * Holds the one queue of a cell and decides who is served next, where, and who is refused.
 *
 * <p>A scheduler is a state machine: every method takes an event with its time and returns what was decided
 * because of it, in order. It reads no clock and is not safe for use by several threads at once. Times are nanoseconds
 * of one monotonic clock and never fall from call to call.
 */
public interface CellScheduler {
    /**
     * A request arrives. It is granted, refused or waits; another waiting request may be refused in its place.
     *
     * @param ask the request
     * @param nowNanos the time
     * @return what was decided
     */
    List<CellEffect> offer(CellRequest ask, long nowNanos);

    /**
     * A waiting request is no longer wanted. Unknown ids are passed over.
     *
     * @param requestId the request's id
     * @param nowNanos the time
     * @return what was decided
     */
    List<CellEffect> withdraw(String requestId, long nowNanos);

    /**
     * A granted request makes progress.
     *
     * @param grant the grant's number
     * @param outputTokens tokens that have arrived so far
     * @param nowNanos the time
     * @return what was decided
     */
    List<CellEffect> progress(long grant, int outputTokens, long nowNanos);

    /**
     * A granted request has ended. Unknown grants are passed over.
     *
     * @param grant the grant's number
     * @param completion what was seen
     * @param nowNanos the time
     * @return what was decided
     */
    List<CellEffect> release(long grant, Completion completion, long nowNanos);

    /**
     * A request is running already, by a grant that another scheduler gave before this one took over. It is counted at
     * its worker even where that puts the worker above its concurrency.
     *
     * @param ask the request
     * @param worker where it runs; the worker need not be known
     * @param nowNanos the time
     * @return the grant's number with this scheduler
     */
    long adopt(CellRequest ask, String worker, long nowNanos);

    /**
     * The published list of the cell's workers has changed.
     *
     * @param workers all of them
     * @param nowNanos the time
     * @return what was decided
     */
    List<CellEffect> updateWorkers(List<WorkerInfo> workers, long nowNanos);

    /**
     * A worker's load report has arrived.
     *
     * @param report the report
     * @param nowNanos the time
     * @return what was decided
     */
    List<CellEffect> recordLoadReport(WorkerReport report, long nowNanos);

    /**
     * Time has passed. To be called every few tens of milliseconds.
     *
     * @param nowNanos the time
     * @return what was decided
     */
    List<CellEffect> advance(long nowNanos);

    /**
     * How many requests wait.
     *
     * @return the number
     */
    int waitingCount();
}
