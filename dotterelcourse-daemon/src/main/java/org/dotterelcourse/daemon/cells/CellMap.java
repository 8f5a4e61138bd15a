package org.dotterelcourse.daemon.cells;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.coordination.ownership.Cell;
import org.dotterelcourse.coordination.ownership.Cells;
import org.dotterelcourse.policy.cell.WorkerInfo;

/** Partitions the upstreams of a configuration into cells. The result depends only on the published data. */
final class CellMap {
    private CellMap() {}

    /**
     * Partitions all upstreams of a configuration.
     *
     * @param configuration the active configuration
     * @param leaving names of the workers that the platform is about to remove
     * @return the cells by cell key, sorted by key
     */
    static Map<String, CellWorkers> of(Configuration configuration, Set<String> leaving) {
        Map<String, CellWorkers> cells = new TreeMap<>();
        for (Upstream upstream : configuration.upstreams()) {
            List<String> names = upstream.workers().stream().map(Worker::name).toList();
            for (Cell cell : Cells.partition(upstream.name(), upstream.region(), names)) {
                cells.put(cell.id().key(), cellWorkers(cell, upstream, leaving));
            }
        }
        return cells;
    }

    private static CellWorkers cellWorkers(Cell cell, Upstream upstream, Set<String> leaving) {
        Map<String, Worker> workers = new TreeMap<>();
        List<WorkerInfo> infos = new ArrayList<>();
        for (Worker worker : upstream.workers()) {
            if (cell.workers().contains(worker.name())) {
                workers.put(worker.name(), worker);
                infos.add(new WorkerInfo(
                        worker.name(),
                        worker.dataCentre(),
                        upstream.concurrency(),
                        worker.leaving() || leaving.contains(worker.name())));
            }
        }
        return new CellWorkers(cell, upstream, workers, infos);
    }
}
