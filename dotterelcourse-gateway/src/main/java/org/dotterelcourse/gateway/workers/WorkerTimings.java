package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.dotterelcourse.policy.performance.PerformanceEstimator;
import org.dotterelcourse.policy.performance.TimingBounds;
import org.dotterelcourse.policy.performance.TimingSums;
import org.dotterelcourse.policy.performance.WorkerPerformance;

/**
 * Durations measured at the workers by this process and its peers, and the speeds of the workers that follow from them. Not
 * thread-safe; used on the gateway's event loop only.
 */
public final class WorkerTimings {
    /** Interval of the estimates; timings of peers arrive once a second. */
    private static final long UPDATE_INTERVAL_NANOS = 500_000_000L;

    /** Rows with less of both weights are not reported: a tenth of a window of a stream, or of one plain request. */
    private static final double MIN_REPORTED_WEIGHT = 5;

    private final Workers workers;
    private final PerformanceEstimator estimator = new PerformanceEstimator();
    private final PeerTimings peers = new PeerTimings();
    private Map<String, PerformanceEstimator.Estimate> estimates = Map.of();
    private boolean enabled = true;
    private boolean updated;
    private long updatedNanos;
    private volatile int estimatedWorkers;
    private volatile int slowWorkers;

    /**
     * A worker that has become slow or is no longer so.
     *
     * @param worker id of the worker
     * @param before state before the change
     * @param after state after the change, with its slowness
     */
    public record SpeedChange(String worker, String before, String after) {}

    /**
     * Creates timings without measurements.
     *
     * @param workers the published workers
     */
    public WorkerTimings(Workers workers) {
        this.workers = workers;
    }

    /**
     * Sets whether workers get estimates. Durations are measured and exchanged in any case.
     *
     * @param value false to treat all workers as equally fast; the default is true
     */
    public void setEnabled(boolean value) {
        enabled = value;
    }

    /**
     * Records the timings in a report of a peer, bounded by the upstream's means. Rows of workers that are not published
     * are ignored.
     *
     * @param peer name of the sender
     * @param scope the processes whose sums the report covers
     * @param rows sums by incarnation of the worker
     * @param processes number of processes in the fleet
     * @param nowNanos current monotonic time in nanoseconds
     * @return number of rows with implausible means
     */
    public int recordReport(
            String peer, PeerLoads.Scope scope, Map<Integer, TimingSums> rows, int processes, long nowNanos) {
        int covered = scope == PeerLoads.Scope.OWN ? 1 : Math.max(1, processes);
        Map<Integer, TimingSums> accepted = new HashMap<>();
        int implausible = 0;
        for (Map.Entry<Integer, TimingSums> row : rows.entrySet()) {
            TimingBounds bounds = workers.findByIncarnation(row.getKey())
                    .map(worker -> estimate(worker.entry().upstream()).bounds())
                    .orElse(null);
            if (bounds != null) {
                TimingBounds.Checked checked = bounds.check(row.getValue(), covered);
                accepted.put(row.getKey(), checked.sums());
                implausible += checked.plausible() ? 0 : 1;
            }
        }
        peers.recordReport(peer, scope, accepted, nowNanos);
        return implausible;
    }

    /**
     * Updates the estimates of all workers if the last update is long enough ago.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the workers that have become slow or are no longer so
     */
    public List<SpeedChange> updateIfDue(long nowNanos) {
        if (updated && nowNanos - updatedNanos < UPDATE_INTERVAL_NANOS) {
            return List.of();
        }
        updated = true;
        updatedNanos = nowNanos;
        peers.removeObsolete(worker -> workers.findByIncarnation(worker).isPresent(), nowNanos);
        Map<String, Map<Integer, TimingSums>> sumsByUpstream = new HashMap<>();
        plusLocal(peers.total(nowNanos), nowNanos)
                .forEach((incarnation, sums) -> workers.findByIncarnation(incarnation)
                        .ifPresent(worker -> sumsByUpstream
                                .computeIfAbsent(worker.entry().upstream(), name -> new HashMap<>())
                                .put(incarnation, sums)));
        Map<String, PerformanceEstimator.Estimate> next = new HashMap<>();
        sumsByUpstream.forEach((upstream, sums) -> next.put(upstream, estimator.estimate(sums)));
        estimates = next;
        return enabled ? applyEstimates() : List.of();
    }

    private List<SpeedChange> applyEstimates() {
        List<SpeedChange> changes = new ArrayList<>();
        int slow = 0;
        int estimated = 0;
        for (WorkerState worker : workers.all()) {
            WorkerPerformance performance =
                    estimate(worker.entry().upstream()).workers().get(worker.incarnation());
            estimated += performance == null ? 0 : 1;
            WorkerPerformance next = performance == null ? WorkerPerformance.NOMINAL : performance;
            if (worker.updatePerformance(next)) {
                String after = String.format(Locale.ROOT, "%.1f times as slow as the mean", next.slowness());
                changes.add(new SpeedChange(
                        worker.entry().id(),
                        worker.isSlow() ? "" : "slow",
                        worker.isSlow() ? "slow, " + after : after));
            }
            slow += worker.isSlow() ? 1 : 0;
        }
        estimatedWorkers = estimated;
        slowWorkers = slow;
        return changes;
    }

    /**
     * Returns the number of workers with an estimate. May be called on any thread.
     *
     * @return number of workers as of the last update
     */
    public int estimatedWorkers() {
        return estimatedWorkers;
    }

    /**
     * Returns the number of workers that are much slower than the mean of their upstream. May be called on any thread.
     *
     * @return number of workers as of the last update
     */
    public int slowWorkers() {
        return slowWorkers;
    }

    /**
     * Returns the estimates of an upstream's workers.
     *
     * @param upstream name of the upstream
     * @return the estimates of the last update
     */
    public PerformanceEstimator.Estimate estimate(String upstream) {
        return estimates.getOrDefault(upstream, PerformanceEstimator.Estimate.NONE);
    }

    /**
     * Returns the sums for a report.
     *
     * @param scope the processes that the report is to cover: this one, those that report to it as well, or all except the
     *     receiver
     * @param receiver name of the receiver, used for {@link PeerLoads.Scope#OTHERS} only
     * @param nowNanos current monotonic time in nanoseconds
     * @return sums by incarnation of the worker, without negligible ones
     */
    public Map<Integer, TimingSums> sums(PeerLoads.Scope scope, String receiver, long nowNanos) {
        Map<Integer, TimingSums> sums =
                switch (scope) {
                    case OWN -> new HashMap<>();
                    case GATHERED -> peers.totalOfReporters(nowNanos);
                    case OTHERS -> peers.totalExcluding(receiver, nowNanos);
                };
        plusLocal(sums, nowNanos);
        sums.values()
                .removeIf(each ->
                        each.stepTokens() + each.mixedStepTokens() + each.expectedMillis() < MIN_REPORTED_WEIGHT);
        return sums;
    }

    private Map<Integer, TimingSums> plusLocal(Map<Integer, TimingSums> sums, long nowNanos) {
        for (WorkerState worker : workers.all()) {
            TimingSums local = worker.timings().sums(nowNanos);
            if (!local.equals(TimingSums.NONE)) {
                sums.merge(worker.incarnation(), local, TimingSums::plus);
            }
        }
        return sums;
    }
}
