package org.dotterelcourse.gateway.workers;

import org.dotterelcourse.policy.repeat.RecentOutcomes;
import org.dotterelcourse.policy.repeat.WorkerTrust;
import org.dotterelcourse.policy.selection.WorkerLoad;

/** One worker with what this process and its peers have there. Used on the gateway's loop only. */
public final class WorkerState {
    private final WorkerTrust trust = new WorkerTrust();
    private final RecentOutcomes outcomes = new RecentOutcomes();
    private final int key;
    private WorkerEntry entry;
    private int inFlight;
    private int interactive;
    private double prefillMillis;
    private PeerLoads.Load others = PeerLoads.Load.NONE;

    WorkerState(WorkerEntry entry) {
        this.entry = entry;
        this.key = key(entry.id());
    }

    /** A short name for messages between processes; that two of some thousand workers share one is unlikely and harmless. */
    static int key(String id) {
        return id.hashCode();
    }

    int key() {
        return key;
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

    WorkerTrust trust() {
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
                outcomes.succeededLately(nowNanos),
                outcomes.failedLately(nowNanos));
    }

    /** Whether all processes together have seen it fail too often. */
    boolean suspectedByAll(long nowNanos) {
        return RecentOutcomes.suspicious(
                outcomes.succeededLately(nowNanos) + others.succeeded(),
                outcomes.failedLately(nowNanos) + others.failed());
    }

    void begin(boolean isInteractive, double prefill) {
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

    WorkerLoad load(long nowNanos, boolean suspectedByAll) {
        return new WorkerLoad(
                entry.id(),
                entry.address(),
                entry.dataCentre(),
                entry.slots(),
                inFlight + others.inFlight(),
                interactive + others.interactive(),
                prefillMillis + others.prefillMillis(),
                suspectedByAll || trust.suspected(nowNanos));
    }
}
