package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.rate.WorkerLimits;
import org.dotterelcourse.policy.selection.SendPermission;
import org.dotterelcourse.policy.selection.WorkerLoad;

/** All known workers. Used on the gateway's loop only. */
public final class Workers {
    /**
     * Part of an upstream's workers that may be left out because of what all processes saw. If more fail, it is not they
     * that are bad, and the rest could not carry the load.
     */
    private static final double MOST_SUSPECTED = 0.34;

    /** Fewer outcomes than this, faded, are not told: they no longer decide anything. */
    private static final double LEAST_OUTCOMES = 0.3;

    /** How long sums stand while no peer says anything, so that what silent ones said runs out. */
    private static final long REFRESH_NANOS = 500_000_000L;

    private final Map<String, WorkerState> byId = new HashMap<>();
    private final Map<Integer, WorkerState> byIncarnation = new HashMap<>();
    private final PeerLoads peerLoads = new PeerLoads();
    private boolean changed;
    private long refreshedNanos;

    /** By address, the worker that was the last to start there. Made anew when the workers have changed. */
    private final Map<String, WorkerState> holders = new HashMap<>();

    private final Set<String> evacuated = new HashSet<>();
    private boolean holdersKnown;
    private Predicate<String> upstreamKnown = upstream -> true;
    private Function<String, ColdStart> coldStarts = upstream -> ColdStart.none();
    private final ShareHolders shareHolders = new ShareHolders();
    private final WorkerLimits limits = new WorkerLimits();
    private long nextOrder;

    /**
     * A worker is published, or what is published of it has changed. Where it has started again under its name, nothing
     * that was known of it holds any more: what it had in flight, what it had read and how often it failed was another
     * process's. What is published late of an earlier start changes nothing. A worker that leaves does so until it ends,
     * whatever an older copy of its entry says.
     *
     * @param entry the worker
     * @param nowNanos the time
     */
    public void addOrUpdate(WorkerEntry entry, long nowNanos) {
        WorkerState known = byId.get(entry.id());
        if (known != null && entry.startMillis() < known.entry().startMillis()) {
            return;
        }
        holdersKnown = false;
        WorkerState current = known;
        if (known != null && entry.incarnation() == known.incarnation()) {
            known.entry(known.entry().leaving() ? entry.toLeaving() : entry);
        } else {
            current = new WorkerState(entry, nextOrder++);
            ended(byId.put(entry.id(), current));
            byIncarnation.put(current.incarnation(), current);
            changed = true;
        }
        current.coldPeriod().recordReport(entry.coldMillis(), nowNanos);
    }

    /**
     * Tells which upstreams exist.
     *
     * @param known whether an upstream of a name does
     * @param bear what the workers of an upstream bear while they are cold, by its name
     */
    public void upstreams(Predicate<String> known, Function<String, ColdStart> bear) {
        upstreamKnown = known;
        coldStarts = bear;
        holdersKnown = false;
    }

    /**
     * A data centre is evacuated: its workers get nothing more, whichever upstream they serve. What is in flight there
     * ends by itself.
     *
     * @param dataCentre its name
     * @return whether it was not before
     */
    public boolean evacuated(String dataCentre) {
        return evacuated.add(dataCentre);
    }

    /**
     * An evacuated data centre is taken back. Its workers are taken for cold.
     *
     * @param dataCentre its name
     * @param nowNanos the time
     * @return whether it was evacuated
     */
    public boolean takenBack(String dataCentre, long nowNanos) {
        byId.values().stream()
                .filter(each -> each.entry().dataCentre().equals(dataCentre))
                .forEach(each -> each.coldPeriod().assumeRestarted(nowNanos));
        return evacuated.remove(dataCentre);
    }

    /**
     * The members of the fleet are known; they share what cold workers bear.
     *
     * @param self this process's name
     * @param others the others' that are not known to be dead
     * @param nowNanos the time
     */
    public void fleet(String self, List<String> others, long nowNanos) {
        shareHolders.fleet(self, others, nowNanos);
    }

    /**
     * A worker is no longer published. What is in flight there goes on.
     *
     * @param id its name
     * @return what was known of it
     */
    public Optional<WorkerEntry> remove(String id) {
        holdersKnown = false;
        WorkerState gone = byId.remove(id);
        ended(gone);
        return Optional.ofNullable(gone).map(WorkerState::entry);
    }

    private void ended(WorkerState worker) {
        if (worker != null) {
            byIncarnation.remove(worker.incarnation());
            limits.remove(worker.incarnation());
        }
    }

    /**
     * Whether another worker has the address now. One that crashed stays published until its entry runs out, while the one
     * that took its address is there already: every request meant for the old one would be refused by the new one. An
     * entry that names an upstream which nobody has configured says nothing about an address: anybody may have written it.
     */
    private boolean displaced(WorkerState worker) {
        if (!holdersKnown) {
            holdersKnown = true;
            holders.clear();
            byId.values().stream()
                    .filter(each -> upstreamKnown.test(each.entry().upstream()))
                    .forEach(each -> holders.merge(
                            each.entry().address(), each, (one, other) -> one.startedAfter(other) ? one : other));
        }
        WorkerState holder = holders.get(worker.entry().address());
        return holder != null && holder != worker;
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
     * @return their loads, without those that are leaving and those of evacuated data centres
     */
    public List<WorkerLoad> candidates(String upstream, Set<String> except, long nowNanos) {
        refresh(nowNanos);
        List<WorkerState> serving = new ArrayList<>();
        Set<WorkerState> suspects = new HashSet<>();
        for (WorkerState worker : byId.values()) {
            if (worker.entry().upstream().equals(upstream) && mayServe(worker)) {
                serving.add(worker);
                if (worker.suspectedByAll(nowNanos)) {
                    suspects.add(worker);
                }
            }
        }
        ColdStart coldStart = coldStarts.apply(upstream);
        boolean few = suspects.size() <= MOST_SUSPECTED * serving.size();
        return serving.stream()
                .filter(worker -> !except.contains(worker.entry().id()))
                .map(worker ->
                        worker.load(nowNanos, few && suspects.contains(worker), intake(worker, coldStart, nowNanos)))
                .toList();
    }

    private SendPermission intake(WorkerState worker, ColdStart coldStart, long nowNanos) {
        return worker.intake(coldStart, limits.limit(worker.incarnation()), shareHolders, nowNanos);
    }

    /**
     * How many requests a second workers said that they take.
     *
     * @return the limits of all upstreams
     */
    public WorkerLimits limits() {
        return limits;
    }

    /**
     * Finds a worker by what processes call it.
     *
     * @param incarnation the name of this start of it
     * @return its state; empty if it is not published
     */
    public Optional<WorkerState> started(int incarnation) {
        return Optional.ofNullable(byIncarnation.get(incarnation));
    }

    /**
     * Workers that have requests of this process under which a worker crashed before.
     *
     * @return their names
     */
    public List<String> withSuspectRequests() {
        return byId.values().stream()
                .filter(WorkerState::hasSuspects)
                .map(worker -> worker.entry().id())
                .toList();
    }

    private boolean mayServe(WorkerState worker) {
        WorkerEntry entry = worker.entry();
        return !entry.leaving() && !evacuated.contains(entry.dataCentre()) && !displaced(worker);
    }

    /**
     * A peer has said what it knows of the workers.
     *
     * @param peer its name
     * @param scope for whom it speaks
     * @param loads by the incarnation of the worker
     * @param nowNanos the time
     */
    public void peerLoad(String peer, PeerLoads.Scope scope, Map<Integer, PeerLoads.Load> loads, long nowNanos) {
        peerLoads.told(peer, scope, loads, nowNanos);
        changed = true;
    }

    /** Peers' reports come more often than requests do; they are added up when a request needs the sums. */
    private void refresh(long nowNanos) {
        if (!changed && nowNanos - refreshedNanos < REFRESH_NANOS) {
            return;
        }
        changed = false;
        refreshedNanos = nowNanos;
        Map<Integer, PeerLoads.Load> sums = peerLoads.sums(nowNanos);
        byId.values().forEach(worker -> worker.others(sums.getOrDefault(worker.incarnation(), PeerLoads.Load.NONE)));
    }

    /**
     * What this process has in flight and has lately seen, for its peers.
     *
     * @param nowNanos the time
     * @return by the incarnation of the worker, only workers of which there is something to tell
     */
    public Map<Integer, PeerLoads.Load> own(long nowNanos) {
        Map<Integer, PeerLoads.Load> own = new HashMap<>();
        byId.values().forEach(worker -> {
            PeerLoads.Load load = worker.own(nowNanos);
            if (load.inFlight() > 0 || load.succeeded() + load.failed() > LEAST_OUTCOMES) {
                own.put(worker.incarnation(), load);
            }
        });
        return own;
    }

    /**
     * What this process and those that report to it know, for other collectors.
     *
     * @param nowNanos the time
     * @return by the incarnation of the worker
     */
    public Map<Integer, PeerLoads.Load> gathered(long nowNanos) {
        return plusOwn(peerLoads.reported(nowNanos), nowNanos);
    }

    /**
     * What all processes but one know, for that one.
     *
     * @param peer its name
     * @param nowNanos the time
     * @return by the incarnation of the worker
     */
    public Map<Integer, PeerLoads.Load> othersOf(String peer, long nowNanos) {
        return plusOwn(peerLoads.without(peer, nowNanos), nowNanos);
    }

    private Map<Integer, PeerLoads.Load> plusOwn(Map<Integer, PeerLoads.Load> sums, long nowNanos) {
        own(nowNanos).forEach((key, load) -> sums.merge(key, load, PeerLoads.Load::plus));
        return sums;
    }

    /**
     * A request is sent to a worker.
     *
     * @param worker the worker
     * @param interactive whether the pauses of its answer must be short
     * @param prefillMillis estimated work until its first event
     * @param nowNanos the time
     * @return to be told how it goes on
     */
    public Placement place(WorkerState worker, boolean interactive, double prefillMillis, long nowNanos) {
        return new Placement(worker, interactive, prefillMillis, nowNanos);
    }
}
