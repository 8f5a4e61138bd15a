package org.dotterelcourse.daemon.cells;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.coordination.ownership.Cell;
import org.dotterelcourse.policy.cell.WorkerInfo;

/**
 * A cell with what is published of its workers.
 *
 * @param cell the cell
 * @param upstream its upstream
 * @param workers its workers by name
 * @param infos its workers as the scheduler wants them
 */
public record CellWorkers(Cell cell, Upstream upstream, Map<String, Worker> workers, List<WorkerInfo> infos) {
    /**
     * The cell's name.
     *
     * @return the name
     */
    public String key() {
        return cell.id().key();
    }

    /** The same cell after its upstream has left the configuration: nothing new goes to its workers. */
    CellWorkers emptied() {
        return new CellWorkers(cell, upstream, workers, List.of());
    }

    Optional<Worker> worker(String name) {
        return Optional.ofNullable(workers.get(name));
    }
}
