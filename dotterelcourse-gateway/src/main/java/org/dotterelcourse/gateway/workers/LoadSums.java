package org.dotterelcourse.gateway.workers;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Sums the loads that this process and its peers cause at the published workers. */
final class LoadSums {
    /** Interval at which the sums are recomputed without new reports, so that reports of silent peers expire. */
    private static final long REFRESH_INTERVAL_NANOS = 500_000_000L;

    private final Collection<WorkerState> workers;
    private final PeerLoads peerLoads = new PeerLoads();
    private boolean outdated;
    private long refreshedNanos;

    /**
     * Creates sums without reports.
     *
     * @param workers all published workers
     */
    LoadSums(Collection<WorkerState> workers) {
        this.workers = workers;
    }

    PeerLoads peerLoads() {
        return peerLoads;
    }

    /** Records that the set of workers has changed. */
    void invalidate() {
        outdated = true;
    }

    /** Records a load report of a peer, which replaces its previous one. */
    void recordReport(String peer, PeerLoads.Scope scope, Map<Integer, PeerLoads.Load> loads, long nowNanos) {
        peerLoads.recordReport(peer, scope, loads, nowNanos);
        outdated = true;
    }

    /** Updates the peers' loads of the workers. Done per request, since reports arrive more often than requests. */
    void refresh(long nowNanos) {
        if (!outdated && nowNanos - refreshedNanos < REFRESH_INTERVAL_NANOS) {
            return;
        }
        outdated = false;
        refreshedNanos = nowNanos;
        Map<Integer, PeerLoads.Load> sums = peerLoads.total(nowNanos);
        workers.forEach(worker -> worker.updatePeerLoad(sums.getOrDefault(worker.incarnation(), PeerLoads.Load.NONE)));
    }

    /** Returns the loads caused by this process, by incarnation of the worker. */
    Map<Integer, PeerLoads.Load> local(long nowNanos) {
        Map<Integer, PeerLoads.Load> loads = new HashMap<>();
        for (WorkerState worker : workers) {
            if (worker.hasLocalLoad(nowNanos)) {
                loads.put(worker.incarnation(), worker.localLoad(nowNanos));
            }
        }
        return loads;
    }

    /** Adds the loads caused by this process to sums, which are changed. */
    Map<Integer, PeerLoads.Load> plusLocal(Map<Integer, PeerLoads.Load> sums, long nowNanos) {
        local(nowNanos).forEach((worker, load) -> sums.merge(worker, load, PeerLoads.Load::plus));
        return sums;
    }
}
