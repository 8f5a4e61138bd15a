package org.dotterelcourse.daemon.cells;

import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.coordination.ownership.Rendezvous;
import org.dotterelcourse.policy.cell.WorkerInfo;

/**
 * The part of a cell's capacity that one daemon may use while it can reach no owner.
 *
 * <p>The failure it answers: a partition leaves many daemons without an owner at once. If each used the whole cell, its
 * engines would get the fleet's size times what they can run; if none used any, callers would be refused by a daemon
 * whose engines stand idle. So the shares of all daemons add up to the capacity, about: each worker's slots are dealt
 * out, and the slots that don't divide go to the daemons with the highest rendezvous weight for that worker.
 */
final class LocalShare {
    private LocalShare() {}

    /**
     * Works out the share.
     *
     * @param workers the cell's workers
     * @param self this daemon's name
     * @param daemons the names of the daemons that were last known alive, this one included
     * @return the workers that this daemon may use, with its part of their concurrency
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
        int each = worker.concurrency() / daemons.size();
        int left = worker.concurrency() % daemons.size();
        int rank = Rendezvous.order(worker.name(), daemons).indexOf(self);
        return each + (rank < left ? 1 : 0);
    }
}
