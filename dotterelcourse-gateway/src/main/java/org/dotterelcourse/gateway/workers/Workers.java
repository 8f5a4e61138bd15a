package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.dotterelcourse.policy.selection.WorkerLoad;

/** All known workers. Used on the gateway's loop only. */
public final class Workers {
    private final Map<String, WorkerState> byId = new HashMap<>();
    private final PeerLoads peerLoads = new PeerLoads();

    /** Workers whose address another one has taken; their entries may still be told of. */
    private final Set<String> replaced = new HashSet<>();

    /**
     * A worker is published, or what is published of it has changed.
     *
     * @param entry the worker
     */
    public void published(WorkerEntry entry) {
        WorkerState known = byId.get(entry.id());
        if (known != null) {
            known.entry(entry);
        } else if (!replaced.contains(entry.id())) {
            byId.values().removeIf(each -> isReplacedBy(each.entry(), entry));
            byId.put(entry.id(), new WorkerState(entry));
        }
    }

    /**
     * A worker that crashed stays published until its entry runs out, while the one that took its address is there
     * already: every request meant for the old one would be refused by the new one.
     */
    private boolean isReplacedBy(WorkerEntry old, WorkerEntry entry) {
        return old.address().equals(entry.address()) && replaced.add(old.id());
    }

    /**
     * A worker is no longer published. What is in flight there goes on.
     *
     * @param id its name
     * @return what was known of it
     */
    public Optional<WorkerEntry> gone(String id) {
        replaced.remove(id);
        return Optional.ofNullable(byId.remove(id)).map(WorkerState::entry);
    }

    /**
     * Finds a worker.
     *
     * @param id its name
     * @return its state; empty if it is not published
     */
    public Optional<WorkerState> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * The workers that a request may be sent to.
     *
     * @param upstream the upstream
     * @param except workers that had it already
     * @param nowNanos the time
     * @return their loads, without those that are leaving
     */
    public List<WorkerLoad> candidates(String upstream, Set<String> except, long nowNanos) {
        List<WorkerLoad> loads = new ArrayList<>();
        for (WorkerState worker : byId.values()) {
            WorkerEntry entry = worker.entry();
            if (entry.upstream().equals(upstream) && !entry.leaving() && !except.contains(entry.id())) {
                loads.add(worker.load(nowNanos));
            }
        }
        return loads;
    }

    /**
     * A peer has said what it has in flight.
     *
     * @param peer its name
     * @param loads by worker id
     * @param nowNanos the time
     */
    public void peerLoad(String peer, Map<String, PeerLoads.Load> loads, long nowNanos) {
        peerLoads.told(peer, loads, nowNanos);
        Map<String, PeerLoads.Load> sums = peerLoads.sums(nowNanos);
        byId.forEach((id, worker) -> worker.others(sums.getOrDefault(id, PeerLoads.Load.NONE)));
    }

    /**
     * What this process has in flight, for its peers.
     *
     * @return by worker id, only workers with something in flight
     */
    public Map<String, PeerLoads.Load> own() {
        Map<String, PeerLoads.Load> own = new HashMap<>();
        byId.forEach((id, worker) -> {
            if (worker.own().inFlight() > 0) {
                own.put(id, worker.own());
            }
        });
        return own;
    }

    /**
     * A request is sent to a worker.
     *
     * @param worker the worker
     * @param interactive whether the pauses of its answer must be short
     * @param prefillMillis estimated work until its first event
     * @return to be told how it goes on
     */
    public Placement place(WorkerState worker, boolean interactive, double prefillMillis) {
        return new Placement(worker, interactive, prefillMillis);
    }
}
