package org.dotterelcourse.gateway.workers;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.policy.rate.SlotLedger;
import org.dotterelcourse.policy.rate.UpstreamStatements;
import org.dotterelcourse.policy.rate.WorkerLimits;

/**
 * Which workers are brittle, that is, crash when they have to reject more than a few requests a second, and which part of
 * their slots this process may grant. A worker that has not answered yet is taken for brittle while others of its upstream
 * are: it may be the successor of one that crashed. Not thread-safe; used on the gateway's event loop only.
 */
public final class BrittleWorkers {
    /** Rejections that a worker bears whose statement this process has not heard of. */
    private static final double UNKNOWN_MAX_REJECTIONS = 1;

    private static final SlotLedger.Bounds NO_SLOTS = new SlotLedger.Bounds(0, 0, 0);

    private final RateShareHolders holders;
    private final Map<String, WorkerState> byId;
    private final LoadSums loadSums;
    private final WorkerLimits statements = new WorkerLimits();
    private final UpstreamStatements byUpstream = new UpstreamStatements();

    BrittleWorkers(RateShareHolders holders, Map<String, WorkerState> byId, LoadSums loadSums) {
        this.holders = holders;
        this.byId = byId;
        this.loadSums = loadSums;
    }

    /**
     * Returns how many rejections per second for want of room workers have stated to bear.
     *
     * @return the statements of the workers of all upstreams
     */
    public WorkerLimits statements() {
        return statements;
    }

    /**
     * Applies the current statement of a worker to workers of its upstream that have not answered yet.
     *
     * @param upstream name of the worker's upstream
     * @param rejectionsPerSecond rejections per second that the worker bears; empty if it is no longer brittle
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordUpstream(String upstream, OptionalDouble rejectionsPerSecond, long nowNanos) {
        if (rejectionsPerSecond.isPresent()) {
            byUpstream.record(upstream, rejectionsPerSecond.getAsDouble(), nowNanos);
        } else if (byId.values().stream()
                .filter(worker -> worker.entry().upstream().equals(upstream))
                .noneMatch(worker -> statements.limit(worker.incarnation()).isPresent())) {
            byUpstream.remove(upstream);
        }
    }

    /**
     * Returns whether a worker is brittle, by its own statement or, before its first answer, by those of its upstream.
     *
     * @param entry entry of the worker
     * @param nowNanos current monotonic time in nanoseconds
     * @return true if it crashes when it has to reject too many requests a second
     */
    public boolean contains(WorkerEntry entry, long nowNanos) {
        WorkerState worker = byId.get(entry.id());
        return worker != null && maxRejections(worker, nowNanos).isPresent();
    }

    /**
     * Returns how many rejections a second a brittle worker bears.
     *
     * @param entry entry of the worker
     * @param nowNanos current monotonic time in nanoseconds
     * @return rejections per second; 0 if this process does not know that the worker is brittle
     */
    public double maxRejections(WorkerEntry entry, long nowNanos) {
        WorkerState worker = byId.get(entry.id());
        return worker == null ? 0 : maxRejections(worker, nowNanos).orElse(0);
    }

    OptionalDouble maxRejections(WorkerState worker, long nowNanos) {
        if (statements.isKnown(worker.incarnation())) {
            return statements.limit(worker.incarnation());
        }
        return worker.hasAnswered()
                ? OptionalDouble.empty()
                : byUpstream.value(worker.entry().upstream(), nowNanos);
    }

    /** Returns whether this process may ask for a slot of a brittle worker now. */
    boolean mayAsk(WorkerState worker, long nowNanos) {
        return !holders.isDiscovering(nowNanos) && !worker.isHeldOff(nowNanos);
    }

    /**
     * Sends a worker nothing for a short time, because its slots are taken.
     *
     * @param id name of the worker
     * @param millis the time in milliseconds
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void holdOff(String id, long millis, long nowNanos) {
        WorkerState worker = byId.get(id);
        if (worker != null) {
            worker.holdOff(TimeUnit.MILLISECONDS.toNanos(millis), nowNanos);
        }
    }

    /**
     * Returns the requests in flight at a worker, for logs.
     *
     * @param id name of the worker
     * @return the number of requests of this process, and of all processes as far as they have reported
     */
    public String describeLoad(String id) {
        WorkerState worker = byId.get(id);
        return worker == null
                ? "unknown"
                : worker.localInFlight() + " from here, " + worker.totalInFlight() + " in all";
    }

    /**
     * Returns what the owner of a worker's slots knows of it. An owner that has lost its links to most other processes grants
     * only the part of the slots that corresponds to the processes that it knows, since the others have another owner.
     *
     * @param id name of the worker
     * @param nowNanos current monotonic time in nanoseconds
     * @return the slots that it may grant, and the reported requests that need none; no slots if the worker is not published
     */
    public SlotLedger.Bounds slotBounds(String id, long nowNanos) {
        loadSums.refresh(nowNanos);
        WorkerState worker = byId.get(id);
        if (worker == null || holders.isDiscovering(nowNanos)) {
            return NO_SLOTS;
        }
        int slots = Math.max(1, worker.entry().slots());
        int recent = holders.recentProcesses(nowNanos);
        boolean isMinority = 2 * holders.processes() < recent;
        return new SlotLedger.Bounds(
                isMinority ? part(worker, slots * holders.processes(), recent, nowNanos) : slots,
                maxRejections(worker, nowNanos).orElse(UNKNOWN_MAX_REJECTIONS),
                worker.unaccountedInFlight());
    }

    /**
     * Returns the part of a worker's slots that this process may use while no owner answers; the parts add up to the slots.
     *
     * @param id name of the worker
     * @param nowNanos current monotonic time in nanoseconds
     * @return the part; no slots if the worker is not published
     */
    public SlotLedger.Bounds ownSlotBounds(String id, long nowNanos) {
        WorkerState worker = byId.get(id);
        if (worker == null) {
            return NO_SLOTS;
        }
        int slots = Math.max(1, worker.entry().slots());
        return new SlotLedger.Bounds(
                part(worker, slots, holders.recentProcesses(nowNanos), nowNanos),
                maxRejections(worker, nowNanos).orElse(UNKNOWN_MAX_REJECTIONS),
                0);
    }

    private int part(WorkerState worker, int slots, int processes, long nowNanos) {
        boolean hasRemainder = holders.includesSelf(worker.entry().id(), slots % processes, nowNanos);
        return slots / processes + (hasRemainder ? 1 : 0);
    }
}
