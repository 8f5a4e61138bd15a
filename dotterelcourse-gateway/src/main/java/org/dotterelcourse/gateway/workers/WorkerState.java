package org.dotterelcourse.gateway.workers;

import java.util.OptionalDouble;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.cold.ColdStartTracker;
import org.dotterelcourse.policy.rate.RateShare;
import org.dotterelcourse.policy.rate.SlidingWindowLog;
import org.dotterelcourse.policy.repeat.LocalSuspicion;
import org.dotterelcourse.policy.repeat.RecentOutcomes;
import org.dotterelcourse.policy.repeat.SharedSuspicion;
import org.dotterelcourse.policy.selection.SendPermission;
import org.dotterelcourse.policy.selection.WorkerLoad;

/** One worker with what this process and its peers have there. Used on the gateway's loop only. */
public final class WorkerState {
    private final LocalSuspicion trust = new LocalSuspicion();
    private final RecentOutcomes outcomes = new RecentOutcomes();
    private final SharedSuspicion sharedSuspicion = new SharedSuspicion();
    private final ColdStartTracker coldPeriod = new ColdStartTracker();
    private final SlidingWindowLog sent = new SlidingWindowLog();
    private final int incarnation;
    private final long order;
    private WorkerEntry entry;
    private int inFlight;
    private int interactive;
    private int suspects;
    private double prefillMillis;
    private PeerLoads.Load others = PeerLoads.Load.NONE;

    /**
     * Makes a state of which nothing is known yet.
     *
     * @param order rises with each worker that becomes known
     */
    WorkerState(WorkerEntry entry, long order) {
        this.entry = entry;
        this.incarnation = entry.incarnation();
        this.order = order;
    }

    int incarnation() {
        return incarnation;
    }

    /** Whether it started after another one: by what both say of it, else by when they became known. */
    boolean startedAfter(WorkerState other) {
        long start = entry.startMillis();
        long otherStart = other.entry.startMillis();
        boolean told = start != 0 && otherStart != 0 && start != otherStart;
        return told ? start > otherStart : order > other.order;
    }

    /**
     * What is published of it.
     *
     * @return the newest entry
     */
    public WorkerEntry entry() {
        return entry;
    }

    void entry(WorkerEntry changed) {
        entry = changed;
    }

    void others(PeerLoads.Load load) {
        others = load;
    }

    LocalSuspicion trust() {
        return trust;
    }

    RecentOutcomes outcomes() {
        return outcomes;
    }

    PeerLoads.Load own(long nowNanos) {
        return new PeerLoads.Load(
                inFlight,
                interactive,
                prefillMillis,
                outcomes.recentSuccesses(nowNanos),
                outcomes.recentFailures(nowNanos));
    }

    ColdStartTracker coldPeriod() {
        return coldPeriod;
    }

    /** Whether this process may send it a request now. */
    SendPermission intake(ColdStart coldStart, OptionalDouble limit, ShareHolders holders, long nowNanos) {
        boolean cold = coldPeriod.isCold(coldStart, nowNanos);
        if (!cold && limit.isEmpty()) {
            return SendPermission.UNLIMITED;
        }
        int processes = holders.processes();
        boolean open = (!cold || open(RateShare.ofPeak(coldStart.perSecond(), processes), holders, nowNanos))
                && (limit.isEmpty() || open(RateShare.ofMean(limit.getAsDouble(), processes), holders, nowNanos));
        return open ? SendPermission.RATE_LIMITED : SendPermission.DENIED;
    }

    private boolean open(RateShare share, ShareHolders holders, long nowNanos) {
        return holders.holds(entry.id(), share.holders(), nowNanos) && sent.allows(share, nowNanos);
    }

    /** Whether all processes together have seen it fail too often. */
    boolean suspectedByAll(long nowNanos) {
        return sharedSuspicion.update(
                outcomes.recentSuccesses(nowNanos) + others.succeeded(),
                outcomes.recentFailures(nowNanos) + others.failed());
    }

    void begin(boolean isInteractive, double prefill, long nowNanos) {
        sent.recordRequest(nowNanos);
        inFlight++;
        interactive += isInteractive ? 1 : 0;
        prefillMillis += prefill;
    }

    void prefilled(double prefill) {
        prefillMillis = Math.max(0, prefillMillis - prefill);
    }

    void end(boolean isInteractive) {
        inFlight--;
        interactive -= isInteractive ? 1 : 0;
        if (inFlight == 0) {
            prefillMillis = 0;
        }
    }

    void suspectBegan() {
        suspects++;
    }

    void suspectEnded() {
        suspects--;
    }

    boolean hasSuspects() {
        return suspects > 0;
    }

    WorkerLoad load(long nowNanos, boolean suspectedByAll, SendPermission intake) {
        return new WorkerLoad(
                entry.id(),
                incarnation,
                entry.address(),
                entry.dataCentre(),
                entry.slots(),
                inFlight + others.inFlight(),
                interactive + others.interactive(),
                prefillMillis + others.prefillMillis(),
                suspectedByAll || trust.isSuspected(nowNanos),
                intake);
    }
}
