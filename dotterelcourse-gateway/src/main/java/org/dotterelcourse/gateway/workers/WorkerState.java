package org.dotterelcourse.gateway.workers;

import java.util.OptionalDouble;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.cold.ColdStartTracker;
import org.dotterelcourse.policy.performance.TimingRecorder;
import org.dotterelcourse.policy.performance.WorkerPerformance;
import org.dotterelcourse.policy.rate.RateShare;
import org.dotterelcourse.policy.rate.SlidingWindowLog;
import org.dotterelcourse.policy.repeat.LocalSuspicion;
import org.dotterelcourse.policy.repeat.RecentOutcomes;
import org.dotterelcourse.policy.repeat.SharedSuspicion;
import org.dotterelcourse.policy.selection.SendPermission;
import org.dotterelcourse.policy.selection.WorkerLoad;

/**
 * The load, health and rate limits of one worker, as seen by this process and its peers. Not thread-safe; used on the
 * gateway's event loop only.
 */
public final class WorkerState {
    /** Decayed number of outcomes up to which they are not reported, since they no longer influence any decision. */
    private static final double MIN_REPORTED_OUTCOMES = 0.3;

    /** Slowness from which on a worker is reported as slow. It influences decisions at lower values already. */
    private static final double SLOW_BEGIN = 1.6;

    /** Slowness below which it is no longer reported as slow. */
    private static final double SLOW_END = 1.3;

    private LocalSuspicion localSuspicion = new LocalSuspicion();
    private RecentOutcomes outcomes = new RecentOutcomes();
    private final SharedSuspicion sharedSuspicion = new SharedSuspicion();
    private final ColdStartTracker coldStart = new ColdStartTracker();
    private final TimingRecorder timings = new TimingRecorder();
    private final SlidingWindowLog requestLog = new SlidingWindowLog();
    private final int incarnation;
    private final long sequence;
    private WorkerEntry entry;
    private String address;
    private int inFlight;
    private int interactive;
    private int suspectRequests;
    private double prefillMillis;
    private PeerLoads.Load peerLoad = PeerLoads.Load.NONE;
    private boolean isSlow;
    private boolean answered;
    private int asked;
    private long heldOffUntilNanos;
    private boolean isHeldOff;
    private WorkerPerformance performance = WorkerPerformance.NOMINAL;

    /**
     * Creates the state of a worker without requests.
     *
     * @param entry its published entry
     * @param sequence sequence number, which increases with each worker that this process discovers
     */
    WorkerState(WorkerEntry entry, long sequence) {
        this.entry = entry;
        this.address = entry.address();
        this.incarnation = entry.incarnation();
        this.sequence = sequence;
    }

    int incarnation() {
        return incarnation;
    }

    /**
     * Returns whether this worker started later than another one: by their published start times if both have one and
     * they differ, else by the order in which this process discovered them.
     */
    boolean startedAfter(WorkerState other) {
        long start = entry.startMillis();
        long otherStart = other.entry.startMillis();
        boolean comparable = start != 0 && otherStart != 0 && start != otherStart;
        return comparable ? start > otherStart : sequence > other.sequence;
    }

    /**
     * Returns the published entry of the worker.
     *
     * @return the latest entry
     */
    public WorkerEntry entry() {
        return entry;
    }

    void updateEntry(WorkerEntry updated) {
        if (!updated.host().equals(entry.host()) || updated.port() != entry.port()) {
            address = updated.address();
        }
        entry = updated;
    }

    /** Returns the address of the latest entry. The same object until the address changes, so that its hash is kept. */
    String address() {
        return address;
    }

    void updatePeerLoad(PeerLoads.Load load) {
        peerLoad = load;
    }

    /** Updates the estimated speed, and returns whether the worker has become much slower or is no longer so. */
    boolean updatePerformance(WorkerPerformance updated) {
        performance = updated;
        boolean slow = updated.slowness() > (isSlow ? SLOW_END : SLOW_BEGIN);
        boolean changed = slow != isSlow;
        isSlow = slow;
        return changed;
    }

    /** Returns whether the worker was much slower than the others of its upstream at the last update. */
    boolean isSlow() {
        return isSlow;
    }

    WorkerPerformance performance() {
        return performance;
    }

    /** Returns the durations that this process has measured at this start of the worker. */
    TimingRecorder timings() {
        return timings;
    }

    /** Returns the number of requests that this process has in flight at the worker. */
    int localInFlight() {
        return inFlight;
    }

    /** Returns the decayed number of successes that peers have reported. */
    double peerSuccesses() {
        return peerLoad.succeeded();
    }

    /** Forgets all failures of requests of this process, and the restarts that it has assumed because of them. */
    void forgetFailures() {
        localSuspicion = new LocalSuspicion();
        outcomes = new RecentOutcomes();
        coldStart.forgetAssumedRestart();
    }

    /** Returns the number of requests that all processes have in flight at the worker. */
    int totalInFlight() {
        return inFlight + peerLoad.inFlight();
    }

    /** Returns the estimated time in milliseconds to read the prompts of all processes that have no first event yet. */
    double totalPrefillMillis() {
        return prefillMillis + peerLoad.prefillMillis();
    }

    LocalSuspicion localSuspicion() {
        return localSuspicion;
    }

    RecentOutcomes outcomes() {
        return outcomes;
    }

    /** Returns whether this process has something to report: requests in flight, or more than hardly any outcomes. */
    boolean hasLocalLoad(long nowNanos) {
        return inFlight > 0
                || outcomes.recentSuccesses(nowNanos) + outcomes.recentFailures(nowNanos) > MIN_REPORTED_OUTCOMES;
    }

    PeerLoads.Load localLoad(long nowNanos) {
        return new PeerLoads.Load(
                inFlight,
                interactive,
                prefillMillis,
                outcomes.recentSuccesses(nowNanos),
                outcomes.recentFailures(nowNanos),
                asked);
    }

    /** Returns the number of requests in flight, of all processes, for which no slot was asked for. */
    int unaccountedInFlight() {
        return Math.max(0, inFlight - asked) + Math.max(0, peerLoad.inFlight() - peerLoad.asked());
    }

    void beginAsking() {
        asked++;
    }

    void endAsking() {
        asked--;
    }

    ColdStartTracker coldStart() {
        return coldStart;
    }

    /** Returns whether this process may send the worker a request now. */
    SendPermission sendPermission(
            ColdStart coldStartPolicy, OptionalDouble limit, RateShareHolders holders, long nowNanos) {
        boolean cold = coldStart.isCold(coldStartPolicy, nowNanos);
        if (!cold && limit.isEmpty()) {
            return SendPermission.UNLIMITED;
        }
        int processes = holders.processes();
        boolean allowed = (!cold || allows(RateShare.ofPeak(coldStartPolicy.perSecond(), processes), holders, nowNanos))
                && (limit.isEmpty() || allows(RateShare.ofMean(limit.getAsDouble(), processes), holders, nowNanos));
        return allowed ? SendPermission.RATE_LIMITED : SendPermission.DENIED;
    }

    /** Returns whether the worker has answered a request of this process or, as far as they have reported, of a peer. */
    boolean hasAnswered() {
        return answered || peerLoad.succeeded() > 0;
    }

    void recordAnswer() {
        answered = true;
    }

    /** Sends the worker nothing for a time, because it has no room. */
    void holdOff(long nanos, long nowNanos) {
        isHeldOff = true;
        heldOffUntilNanos = nowNanos + nanos;
    }

    boolean isHeldOff(long nowNanos) {
        isHeldOff = isHeldOff && nowNanos - heldOffUntilNanos < 0;
        return isHeldOff;
    }

    private boolean allows(RateShare share, RateShareHolders holders, long nowNanos) {
        return holders.includesSelf(entry.id(), share.holders(), nowNanos) && requestLog.allows(share, nowNanos);
    }

    /** Returns whether the worker failed too often, judged by the outcomes at all processes together. */
    boolean updateSharedSuspicion(long nowNanos) {
        return sharedSuspicion.update(
                outcomes.recentSuccesses(nowNanos) + peerLoad.succeeded(),
                outcomes.recentFailures(nowNanos) + peerLoad.failed());
    }

    void beginRequest(boolean isInteractive, double prefill, long nowNanos) {
        requestLog.recordRequest(nowNanos);
        inFlight++;
        interactive += isInteractive ? 1 : 0;
        prefillMillis += prefill;
    }

    void subtractPrefill(double prefill) {
        prefillMillis = Math.max(0, prefillMillis - prefill);
    }

    void endRequest(boolean isInteractive) {
        inFlight--;
        interactive -= isInteractive ? 1 : 0;
        if (inFlight == 0) {
            prefillMillis = 0;
        }
    }

    void beginSuspectRequest() {
        suspectRequests++;
    }

    void endSuspectRequest() {
        suspectRequests--;
    }

    boolean hasSuspectRequests() {
        return suspectRequests > 0;
    }

    /**
     * Returns the load of the worker.
     *
     * @param usesSharedSuspicion whether the worker counts as suspected if it failed too often at all processes together,
     *     as of the last {@link #updateSharedSuspicion}
     */
    WorkerLoad load(long nowNanos, boolean usesSharedSuspicion, SendPermission permission) {
        return new WorkerLoad(
                entry.id(),
                incarnation,
                address,
                entry.dataCentre(),
                entry.slots(),
                inFlight + peerLoad.inFlight(),
                interactive + peerLoad.interactive(),
                prefillMillis + peerLoad.prefillMillis(),
                usesSharedSuspicion && sharedSuspicion.isSuspected() || localSuspicion.isSuspected(nowNanos),
                permission,
                performance,
                entry.version());
    }
}
