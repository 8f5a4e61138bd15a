package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.rate.WorkerBackoffs;
import org.dotterelcourse.policy.rate.WorkerLimits;
import org.dotterelcourse.policy.resumption.VersionHistory;
import org.dotterelcourse.policy.selection.WorkerLoad;
import org.dotterelcourse.policy.selection.WorkerRanking;

/**
 * Registry of the published workers. Derives the candidates for a request from published entries, load reports of
 * peers, rate limits and evacuations. Not thread-safe; used on the gateway's event loop only.
 */
public final class Workers {
    /**
     * Largest fraction of an upstream's workers that is suspected because of the outcomes at all processes. If more
     * fail, the workers are probably not the cause, and the remaining ones could not carry the load.
     */
    private static final double MAX_SUSPECTED_FRACTION = 0.34;

    private final Map<String, WorkerState> byId = new HashMap<>();
    private final Map<Integer, WorkerState> byIncarnation = new HashMap<>();
    private final LoadSums loadSums = new LoadSums(byId.values());
    private final Set<String> evacuated = new HashSet<>();
    private final RateShareHolders rateShareHolders = new RateShareHolders();
    private final BrittleWorkers brittle = new BrittleWorkers(rateShareHolders, byId, loadSums);
    private final SendPermissions permissions = new SendPermissions(rateShareHolders, brittle);
    private final LeavingWorkers leavingWorkers = new LeavingWorkers(byIncarnation::containsKey);
    private final SelectionCounters counters = new SelectionCounters();
    private final WorkerIndex index = new WorkerIndex(byId.values(), this::isEligible, counters);
    private int indexedLeavingWorkers;
    private final CollectedLoads collectedLoads = new CollectedLoads(loadSums, this);
    private final VersionHistory versionHistory = new VersionHistory();
    private long nextSequence;

    /**
     * Adds a worker or updates its entry. If the worker has restarted under its name, its previous state is discarded,
     * because requests in flight, cached prompts and failures belong to the earlier start. An entry of an earlier start
     * is ignored. A worker that is leaving remains so until it stops, even if a late entry does not say so.
     *
     * @param entry the published entry
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void addOrUpdate(WorkerEntry entry, long nowNanos) {
        WorkerState existing = byId.get(entry.id());
        if (existing != null && entry.startMillis() < existing.entry().startMillis()) {
            return;
        }
        WorkerState current = existing;
        if (existing != null
                && entry.incarnation() == existing.incarnation()
                && entry.version().equals(existing.entry().version())) {
            WorkerEntry updated = existing.entry().leaving() ? entry.toLeaving() : entry;
            if (!WorkerIndex.isEquivalent(existing.entry(), updated)) {
                index.invalidate();
            }
            versionHistory.remove(existing.entry().upstream(), existing.entry().version(), nowNanos);
            existing.updateEntry(updated);
        } else {
            index.invalidate();
            current = new WorkerState(entry, nextSequence++);
            if (existing != null) {
                versionHistory.remove(
                        existing.entry().upstream(), existing.entry().version(), nowNanos);
            }
            removeIncarnation(byId.put(entry.id(), current));
            byIncarnation.put(current.incarnation(), current);
            loadSums.invalidate();
        }
        versionHistory.add(entry.upstream(), entry.version());
        current.coldStart().recordReport(entry.coldMillis(), nowNanos);
    }

    /**
     * Sets the configured upstreams.
     *
     * @param exists returns whether an upstream of the given name is configured
     * @param coldStart returns the limits of cold workers for the upstream of the given name
     */
    public void configureUpstreams(Predicate<String> exists, Function<String, ColdStart> coldStart) {
        index.configureUpstreams(exists);
        permissions.configureUpstreams(coldStart);
    }

    /**
     * Evacuates a data centre: its workers get no new requests, whichever upstream they serve. Requests in flight there
     * continue to their end.
     *
     * @param dataCentre name of the data centre
     * @return true if it was not evacuated before
     */
    public boolean evacuate(String dataCentre) {
        index.invalidate();
        return evacuated.add(dataCentre);
    }

    /**
     * Ends the evacuation of a data centre. Its workers are assumed to be cold, as after a restart.
     *
     * @param dataCentre name of the data centre
     * @param nowNanos current monotonic time in nanoseconds
     * @return true if it was evacuated before
     */
    public boolean endEvacuation(String dataCentre, long nowNanos) {
        index.invalidate();
        byId.values().stream()
                .filter(worker -> worker.entry().dataCentre().equals(dataCentre))
                .forEach(worker -> worker.coldStart().assumeRestarted(nowNanos));
        return evacuated.remove(dataCentre);
    }

    /**
     * Updates the members of the fleet, among which the request rates of cold and rate-limited workers are divided.
     *
     * @param self name of this process
     * @param others names of the other processes that are not dead according to membership
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void updateFleet(String self, List<String> others, long nowNanos) {
        permissions.updateFleet(self, others, nowNanos);
    }

    /**
     * Returns whether this process is the one of the fleet that a key is assigned to.
     *
     * @param key any text
     * @param nowNanos current monotonic time in nanoseconds
     * @return false also while this process still discovers the members of the fleet
     */
    public boolean isFirstHolder(String key, long nowNanos) {
        return permissions.isFirstHolder(key, nowNanos);
    }

    /**
     * Removes a worker that is no longer published. Its requests in flight continue.
     *
     * @param id name of the worker
     * @param nowNanos current monotonic time in nanoseconds
     * @return its last entry; empty if it was not published
     */
    public Optional<WorkerEntry> remove(String id, long nowNanos) {
        index.invalidate();
        WorkerState removed = byId.remove(id);
        removeIncarnation(removed);
        if (removed != null) {
            versionHistory.remove(removed.entry().upstream(), removed.entry().version(), nowNanos);
        }
        return Optional.ofNullable(removed).map(WorkerState::entry);
    }

    private void removeIncarnation(WorkerState worker) {
        if (worker != null) {
            byIncarnation.remove(worker.incarnation());
            permissions.remove(worker.incarnation());
        }
    }

    /**
     * Finds a worker by its name.
     *
     * @param id name of the worker
     * @return its state; empty if it is not published
     */
    public Optional<WorkerState> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Returns all published workers. */
    Collection<WorkerState> all() {
        return byId.values();
    }

    /**
     * Returns the workers that a request may be sent to. Workers are left out if they are leaving, have been replaced
     * at their address, or run in an evacuated data centre. Workers that must get no requests for a time are included,
     * with a permission that says so.
     *
     * @param upstream name of the upstream
     * @param excluded names of workers to leave out, such as those that had the request already
     * @param nowNanos current monotonic time in nanoseconds
     * @return the loads of the workers, including those of peers, in the order of {@link WorkerRanking}
     */
    public List<WorkerLoad> candidates(String upstream, Set<String> excluded, long nowNanos) {
        return candidates(upstream, excluded, entry -> true, nowNanos);
    }

    /**
     * Returns the workers that a request may be sent to, as {@link #candidates(String, Set, long)} does, among those that can
     * serve it.
     *
     * @param upstream name of the upstream
     * @param excluded names of workers to leave out
     * @param accepted whether the worker with an entry can serve the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return the loads of the workers
     */
    public List<WorkerLoad> candidates(
            String upstream, Set<String> excluded, Predicate<WorkerEntry> accepted, long nowNanos) {
        counters.recordSelection();
        loadSums.refresh(nowNanos);
        List<WorkerState> serving = eligible(upstream);
        int suspects = 0;
        for (WorkerState worker : serving) {
            suspects += worker.updateSharedSuspicion(nowNanos) ? 1 : 0;
        }
        ColdStart coldStart = permissions.coldStart(upstream);
        boolean fewSuspects = suspects <= MAX_SUSPECTED_FRACTION * serving.size();
        List<WorkerLoad> loads = new ArrayList<>(serving.size());
        for (WorkerState worker : serving) {
            boolean isExcluded =
                    !excluded.isEmpty() && excluded.contains(worker.entry().id());
            if (!isExcluded && accepted.test(worker.entry())) {
                loads.add(worker.load(nowNanos, fewSuspects, permissions.permission(worker, coldStart, nowNanos)));
            }
        }
        return loads;
    }

    /**
     * Returns how much work the selection of workers has been.
     *
     * @return the counters since the start of the process
     */
    public SelectionCounters counters() {
        return counters;
    }

    /**
     * Returns how long none of an upstream's workers wants requests from this process.
     *
     * @param upstream name of the upstream
     * @param accepted whether the worker with an entry can serve the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return the time in milliseconds until the first worker's backoff ends; empty if a worker has not asked for a
     *     backoff, or there is no worker that requests may be sent to
     */
    public OptionalLong sharedBackoffMillis(String upstream, Predicate<WorkerEntry> accepted, long nowNanos) {
        return permissions.sharedBackoffMillis(eligible(upstream), accepted, nowNanos);
    }

    /**
     * Returns the request rate limits that workers have set.
     *
     * @return the limits of the workers of all upstreams
     */
    public WorkerLimits limits() {
        return permissions.limits();
    }

    /**
     * Returns the workers that crash when they have to reject too many requests.
     *
     * @return the brittle workers of all upstreams
     */
    public BrittleWorkers brittle() {
        return brittle;
    }

    /**
     * Returns the backoffs that workers have asked this process for.
     *
     * @return the backoffs of the workers of all upstreams, whether published or not
     */
    public WorkerBackoffs backoffs() {
        return permissions.backoffs();
    }

    /**
     * Returns the software versions of which workers were published.
     *
     * @return the versions of all upstreams
     */
    public VersionHistory versionHistory() {
        return versionHistory;
    }

    /**
     * Returns the workers that have stated in a response that they are leaving.
     *
     * @return the workers of all upstreams, whether published or not
     */
    public LeavingWorkers leavingWorkers() {
        return leavingWorkers;
    }

    /**
     * Finds a worker by its incarnation.
     *
     * @param incarnation the value of {@link WorkerEntry#incarnation}
     * @return its state; empty if no such start of a worker is published
     */
    public Optional<WorkerState> findByIncarnation(int incarnation) {
        return Optional.ofNullable(byIncarnation.get(incarnation));
    }

    /**
     * Returns the workers with requests in flight from this process under which a worker has crashed before.
     *
     * @return names of the workers
     */
    public List<String> withSuspectRequests() {
        return byId.values().stream()
                .filter(WorkerState::hasSuspectRequests)
                .map(worker -> worker.entry().id())
                .toList();
    }

    /**
     * Returns whether a worker is leaving, according to its published entry or its own statement in a response.
     *
     * @param entry entry of the worker
     * @return true if it must get no new requests and will stop
     */
    public boolean isLeaving(WorkerEntry entry) {
        return entry.leaving() || leavingWorkers.contains(entry.incarnation());
    }

    private List<WorkerState> eligible(String upstream) {
        if (indexedLeavingWorkers != leavingWorkers.additions()) {
            indexedLeavingWorkers = leavingWorkers.additions();
            index.invalidate();
        }
        return index.eligible(upstream);
    }

    private boolean isEligible(WorkerEntry entry) {
        return !isLeaving(entry) && !evacuated.contains(entry.dataCentre());
    }

    /**
     * Records a load report of a peer, which replaces its previous one.
     *
     * @param peer name of the peer
     * @param scope the processes whose loads the report sums up
     * @param loads loads by incarnation of the worker
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordPeerLoads(String peer, PeerLoads.Scope scope, Map<Integer, PeerLoads.Load> loads, long nowNanos) {
        loadSums.recordReport(peer, scope, loads, nowNanos);
    }

    /**
     * Returns the loads caused by this process, for reports to peers.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return loads by incarnation of the worker; without workers that have no requests in flight and hardly any recent
     *     outcomes
     */
    public Map<Integer, PeerLoads.Load> localLoads(long nowNanos) {
        return loadSums.local(nowNanos);
    }

    /**
     * Returns the loads that this process reports as a collector.
     *
     * @return a view of the loads of all processes
     */
    public CollectedLoads collectedLoads() {
        return collectedLoads;
    }

    /**
     * Returns the loads caused by this process and those that report to it, for reports to other collectors.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return loads by incarnation of the worker
     */
    public Map<Integer, PeerLoads.Load> aggregatedLoads(long nowNanos) {
        return loadSums.plusLocal(loadSums.peerLoads().totalOfReporters(nowNanos), nowNanos);
    }

    /**
     * Adds a request to the load of a worker.
     *
     * @param worker the worker that the request is sent to
     * @param interactive whether the stream needs short gaps between events
     * @param prefillMillis estimated time in milliseconds to process the prompt, until the first event
     * @param nowNanos current monotonic time in nanoseconds
     * @return the placement, on which the caller records the progress and end of the request
     */
    public Placement place(WorkerState worker, boolean interactive, double prefillMillis, long nowNanos) {
        return new Placement(worker, interactive, prefillMillis, nowNanos);
    }
}
