package org.dotterelcourse.daemon.cells;

import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.coordination.ownership.Rendezvous;
import org.dotterelcourse.policy.cell.WorkerInfo;

/**
 * Computes the share of a cell's capacity that one daemon may use while it cannot reach an owner.
 *
 * <p>A network partition can leave many daemons without an owner at once. If each used the whole cell, its engines would
 * receive a multiple of their capacity, up to the number of daemons; if none used it, callers would be refused while
 * engines are idle. Each worker's slots are therefore divided evenly among the daemons, and the remainder goes to the
 * daemons with the highest rendezvous weight for that worker. The shares of all daemons add up to the capacity, though
 * only approximately while their membership views differ.
 */
final class LocalShare {
    private LocalShare() {}

    /**
     * Computes the share of one daemon.
     *
     * @param workers the cell's workers
     * @param self the name of this daemon
     * @param daemons the names of the daemons that were last seen alive, including this one
     * @return the workers that this daemon may use, with its share of their concurrency
     */
    static List<WorkerInfo> of(List<WorkerInfo> workers, String self, List<String> daemons) {
        List<WorkerInfo> share = new ArrayList<>();
        for (WorkerInfo worker : workers) {
            int slots = slots(worker, self, daemons);
            if (slots > 0) {
                share.add(new WorkerInfo(worker.name(), worker.dataCentre(), slots, worker.leaving()));
            }
        }
        return share;
    }

    private static int slots(WorkerInfo worker, String self, List<String> daemons) {
        int base = worker.concurrency() / daemons.size();
        int remainder = worker.concurrency() % daemons.size();
        int rank = Rendezvous.order(worker.name(), daemons).indexOf(self);
        return base + (rank < remainder ? 1 : 0);
    }
}
