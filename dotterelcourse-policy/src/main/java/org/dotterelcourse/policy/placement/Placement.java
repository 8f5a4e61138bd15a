package org.dotterelcourse.policy.placement;

import java.util.List;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/** Chooses workers for the requests of a cell and tracks what runs on them. Implementations are not thread-safe. */
public interface Placement {
    /**
     * Checks whether any worker has a free slot.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether at least one worker can accept a request
     */
    boolean hasCapacity(long nowNanos);

    /**
     * Checks whether any worker could serve the request once it has a free slot.
     *
     * @param request the request
     * @return whether a worker is neither leaving nor excluded for the request; always true until the first list of
     *     workers has been published
     */
    boolean canServe(CellRequest request);

    /**
     * Checks whether a worker could serve the request after one of its running requests has been preempted.
     *
     * @param worker the worker's name
     * @param request the request
     * @return whether the worker is neither leaving, ejected nor excluded for the request; false for an unknown worker
     */
    boolean isUsable(String worker, CellRequest request);

    /**
     * Chooses a worker for a request. The caller reports the grant by {@link #recordGrant}.
     *
     * @param request the request with its estimates
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the worker's name, or empty if no worker can accept the request now
     */
    Optional<String> place(PlacementRequest request, long nowNanos);

    /**
     * Records that a request was granted to a worker.
     *
     * @param running the granted request
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void recordGrant(RunningRequest running, long nowNanos);

    /**
     * Records the progress of a granted request.
     *
     * @param running the granted request
     * @param outputTokens number of output tokens received so far
     * @param becomesLong whether the request counts as long from now on
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void recordProgress(RunningRequest running, int outputTokens, boolean becomesLong, long nowNanos);

    /**
     * Records that a granted request has ended and no longer occupies its worker.
     *
     * @param running the granted request
     * @param completion how the request ended, with its observed times
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void recordRelease(RunningRequest running, Completion completion, long nowNanos);

    /**
     * Replaces the list of workers.
     *
     * @param published all workers that are published for the cell
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void updateWorkers(List<WorkerInfo> published, long nowNanos);

    /**
     * Records a worker's load report.
     *
     * @param report the report; ignored if its worker is unknown
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void recordReport(WorkerReport report, long nowNanos);

    /**
     * Runs the periodic comparison of workers and the ejections that follow from it.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void advance(long nowNanos);

    /**
     * Returns the number of requests that all workers together can run concurrently.
     *
     * @return the number of slots at the last update; leaving workers and ejected workers that are not probed yet count
     *     as 0, and workers being probed count with their probe limit
     */
    int slots();

    /**
     * Returns the ejected workers, including those being probed.
     *
     * @return the workers' names
     */
    List<String> ejectedWorkers();
}
