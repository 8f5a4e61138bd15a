package org.dotterelcourse.daemon.cells;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.coordination.ownership.Cell;
import org.dotterelcourse.policy.cell.WorkerInfo;

/**
 * A cell with the published data of its upstream and workers.
 *
 * @param cell the cell
 * @param upstream the upstream that the cell is part of
 * @param workers the published workers of the cell by name
 * @param infos the same workers in the form that the scheduler uses
 */
public record CellWorkers(Cell cell, Upstream upstream, Map<String, Worker> workers, List<WorkerInfo> infos) {
    /**
     * Returns the cell key.
     *
     * @return the cell key, unique among all cells
     */
    public String key() {
        return cell.id().key();
    }

    /**
     * Returns this cell without schedulable workers. Used after its upstream was removed from the configuration, so that
     * no new requests are granted.
     */
    CellWorkers withoutWorkers() {
        return new CellWorkers(cell, upstream, workers, List.of());
    }

    Optional<Worker> worker(String name) {
        return Optional.ofNullable(workers.get(name));
    }
}
