package org.dotterelcourse.policy.placement;

import java.util.List;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/** Chooses workers. Not safe for use by several threads at once. */
public interface Placement {
    /**
     * Whether any worker may take a request now.
     *
     * @param nowNanos the time
     * @return whether one may
     */
    boolean hasRoom(long nowNanos);

    /**
     * Whether any worker could ever take the request.
     *
     * @param ask the request
     * @return whether one could; true as long as no list of workers has been published
     */
    boolean canServe(CellRequest ask);

    /**
     * Whether a worker may take a request once something on it has made way.
     *
     * @param worker the worker's name
     * @param ask the request
     * @return whether it may
     */
    boolean isUsable(String worker, CellRequest ask);

    /**
     * Chooses a worker.
     *
     * @param candidate the request
     * @param nowNanos the time
     * @return the worker's name, or empty if none has room for it
     */
    Optional<String> place(Candidate candidate, long nowNanos);

    /**
     * A request was granted a worker.
     *
     * @param running the request
     * @param nowNanos the time
     */
    void granted(Running running, long nowNanos);

    /**
     * A request makes progress.
     *
     * @param running the request
     * @param tokens tokens of its answer so far
     * @param becomesLong whether it counts as long from now on
     * @param nowNanos the time
     */
    void progress(Running running, int tokens, boolean becomesLong, long nowNanos);

    /**
     * A request has left its worker.
     *
     * @param running the request
     * @param completion what was seen
     * @param nowNanos the time
     */
    void released(Running running, Completion completion, long nowNanos);

    /**
     * The list of workers was published.
     *
     * @param published all workers of the cell
     * @param nowNanos the time
     */
    void workers(List<WorkerInfo> published, long nowNanos);

    /**
     * A load report has come.
     *
     * @param report the report
     * @param nowNanos the time
     */
    void report(WorkerReport report, long nowNanos);

    /**
     * Time has passed.
     *
     * @param nowNanos the time
     */
    void advance(long nowNanos);

    /**
     * How many requests the workers run at once.
     *
     * @return the number, without workers that are leaving or ejected
     */
    int slots();

    /**
     * The workers that are ejected.
     *
     * @return their names
     */
    List<String> ejected();
}
