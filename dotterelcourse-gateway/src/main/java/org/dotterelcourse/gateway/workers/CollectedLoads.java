package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * The loads that a collector reports to the processes that report to it. All of them get the same sums, except for the
 * workers that the receiver uses itself, so the sums are formed once for all receivers.
 */
public final class CollectedLoads {
    private final LoadSums loadSums;
    private final Workers workers;

    CollectedLoads(LoadSums loadSums, Workers workers) {
        this.loadSums = loadSums;
        this.workers = workers;
    }

    /**
     * Returns the loads caused by all processes.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return loads by incarnation of the worker
     */
    public Map<Integer, PeerLoads.Load> all(long nowNanos) {
        return loadSums.plusLocal(new HashMap<>(loadSums.peerLoads().total(nowNanos)), nowNanos);
    }

    /**
     * Returns the loads caused by all processes except one.
     *
     * @param peer name of the process
     * @param nowNanos current monotonic time in nanoseconds
     * @return loads by incarnation of the worker
     */
    Map<Integer, PeerLoads.Load> excluding(String peer, long nowNanos) {
        return loadSums.plusLocal(loadSums.peerLoads().totalExcluding(peer, nowNanos), nowNanos);
    }

    /**
     * Returns the rows of {@link #all} that change if the load caused by one process is left out.
     *
     * @param peer name of the process
     * @param nowNanos current monotonic time in nanoseconds
     * @return loads by incarnation of the worker; {@link PeerLoads.Load#NONE} for a worker that only this process uses
     */
    public Map<Integer, PeerLoads.Load> changesExcluding(String peer, long nowNanos) {
        Map<Integer, PeerLoads.Load> changes = loadSums.peerLoads().changesExcluding(peer, nowNanos);
        for (Map.Entry<Integer, PeerLoads.Load> change : changes.entrySet()) {
            workers.findByIncarnation(change.getKey())
                    .filter(worker -> worker.hasLocalLoad(nowNanos))
                    .ifPresent(worker -> change.setValue(change.getValue().plus(worker.localLoad(nowNanos))));
        }
        return changes;
    }
}
