package org.dotterelcourse.policy.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Mechanism;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/** State of one worker: this cell's grants, which are exact, and the worker's load reports, which lag. */
final class Worker {
    /** Time for which a worker counts as full after it refused a request: about the duration of a short response. */
    private static final long FULL_AFTER_REFUSAL_NANOS = 500_000_000L;

    private final CellSettings settings;
    private final WorkerHealth health;
    private final LoadHistory history = new LoadHistory();
    private final Map<Long, RunningRequest> grants = new LinkedHashMap<>();
    private final long nameHash;
    private WorkerInfo info;
    private boolean reportedLeaving;
    private boolean isUnlisted;
    private int longRequests;
    private double pendingPrefill;
    private int foreignRequests;
    private long reportNanos = Long.MIN_VALUE;
    private long fullUntilNanos = Long.MIN_VALUE;
    private long lastActivityNanos;

    Worker(WorkerInfo info, CellSettings settings, long nowNanos) {
        this.info = info;
        this.settings = settings;
        this.health = new WorkerHealth(settings);
        this.nameHash = Hashing.komihash5_0().hashCharsToLong(info.name());
        this.lastActivityNanos = nowNanos;
    }

    String name() {
        return info.name();
    }

    WorkerHealth health() {
        return health;
    }

    /**
     * Updates the worker from the published list. A worker that announced that it is leaving counts as leaving until
     * the list has shown it as leaving or absent, and then as present again. The list lags: without this rule, a
     * leaving worker would get new requests.
     */
    void updateInfo(WorkerInfo published) {
        if ((info.leaving() || isUnlisted) && !published.leaving()) {
            reportedLeaving = false;
        }
        isUnlisted = false;
        info = published;
    }

    /**
     * Marks the worker as absent from the published list. It is kept until its last grant ends, so that its capacity is
     * not counted twice.
     */
    void markUnlisted() {
        isUnlisted = true;
        reportedLeaving = true;
    }

    void markLeaving() {
        reportedLeaving = true;
    }

    boolean isLeaving() {
        return info.leaving() || reportedLeaving;
    }

    boolean isIdle() {
        return grants.isEmpty();
    }

    /** Returns how many requests the worker may run concurrently: fewer if it is slow or being probed. */
    int slots(long nowNanos) {
        if (isLeaving() || health.isBackingOff(nowNanos)) {
            return 0;
        }
        if (health.isEjected()) {
            return Math.min(health.probeLimit(), info.concurrency());
        }
        if (!settings.isEnabled(Mechanism.STRAGGLER_WEIGHT)) {
            return info.concurrency();
        }
        return Math.max(1, (int) Math.round(info.concurrency() / health.slowFactor()));
    }

    boolean hasCapacity(long nowNanos) {
        return nowNanos >= fullUntilNanos && grants.size() + foreignRequests(nowNanos) < slots(nowNanos);
    }

    boolean canAccept(PlacementRequest request, long nowNanos) {
        if (!hasCapacity(nowNanos) || isExcludedFor(request.cellRequest())) {
            return false;
        }
        if (health.isEjected() && !isEligibleAsProbe(request.cellRequest())) {
            return false;
        }
        if (!request.isLong() || !settings.isEnabled(Mechanism.LONG_JOB_CAP)) {
            return true;
        }
        return longRequests < Math.max(1, (int) (settings.longJobShare() * info.concurrency()));
    }

    boolean isUsable(CellRequest request) {
        return !isLeaving() && !health.isEjected() && !isExcludedFor(request);
    }

    /** Returns a rough estimate of the time to finish the request, in decode steps of an empty worker. */
    double expectedFinish(PlacementRequest request, long nowNanos) {
        double load = (double) (grants.size() + foreignRequests(nowNanos)) / Math.max(1, info.concurrency());
        double decode = request.expectedOutputTokens() * (1 + settings.batchSlowdown() * load);
        double slowFactor = settings.isEnabled(Mechanism.STRAGGLER_WEIGHT) ? health.slowFactor() : 1;
        return slowFactor * (pendingPrefill + request.prefillWork() + decode);
    }

    /** Returns the rendezvous hashing weight of the worker for a prefix. */
    long affinityWeight(long prefix) {
        return Hashing.komihash5_0().hashLongLongToLong(prefix, nameHash);
    }

    void recordGrant(RunningRequest running, long nowNanos) {
        history.record(grants.size(), nowNanos);
        if (grants.isEmpty()) {
            lastActivityNanos = nowNanos;
        }
        grants.put(running.grant(), running);
        history.record(grants.size(), nowNanos);
        pendingPrefill += running.placementRequest().prefillWork();
        longRequests += running.isLong() ? 1 : 0;
    }

    void recordProgress(
            RunningRequest running, int outputTokens, boolean becomesLong, int tokensPerSample, long nowNanos) {
        lastActivityNanos = nowNanos;
        if (!running.hasOutput() && outputTokens > running.cellRequest().resumedTokens()) {
            subtractPrefill(running);
        }
        if (becomesLong && !running.isLong()) {
            running.markLong();
            longRequests++;
        }
        long perTokenNanos = running.recordTokens(outputTokens, tokensPerSample, nowNanos);
        if (perTokenNanos > 0) {
            health.addSample(normalizeToEmptyBatch(perTokenNanos), nowNanos);
        }
    }

    void recordRelease(RunningRequest running, long nowNanos) {
        if (grants.remove(running.grant()) == null) {
            return;
        }
        history.record(grants.size(), nowNanos);
        longRequests -= running.isLong() ? 1 : 0;
        if (!running.hasOutput()) {
            subtractPrefill(running);
        }
    }

    void recordActivity(long nowNanos) {
        lastActivityNanos = nowNanos;
    }

    /** Returns the time since the last activity of a worker with requests in flight, in nanoseconds; 0 if idle. */
    long silenceNanos(long nowNanos) {
        return grants.isEmpty() ? 0 : nowNanos - lastActivityNanos;
    }

    void markFull(long nowNanos) {
        fullUntilNanos = nowNanos + FULL_AFTER_REFUSAL_NANOS;
    }

    void recordLoad(long nowNanos) {
        history.record(grants.size(), nowNanos);
    }

    /** Derives from a load report how many requests on the worker were not granted by this cell. */
    void recordReport(WorkerReport report) {
        if (report.measuredNanos() <= reportNanos) {
            return;
        }
        reportNanos = report.measuredNanos();
        int ownRequests = history.maxAround(report.measuredNanos());
        foreignRequests = ownRequests < 0 ? 0 : Math.max(0, report.running() + report.waiting() - ownRequests);
    }

    /** Converts a time per token to that of an empty worker, so that a busy worker does not count as slow. */
    double normalizeToEmptyBatch(double perTokenNanos) {
        double load = (double) grants.size() / Math.max(1, info.concurrency());
        return perTokenNanos / (1 + settings.batchSlowdown() * load);
    }

    int concurrency() {
        return info.concurrency();
    }

    private int foreignRequests(long nowNanos) {
        boolean fresh = foreignRequests > 0 && nowNanos - reportNanos < settings.maxReportAgeNanos();
        return fresh && settings.isEnabled(Mechanism.LOAD_REPORTS) ? foreignRequests : 0;
    }

    private boolean isExcludedFor(CellRequest request) {
        return request.excludedWorkers().contains(info.name());
    }

    /** A probe may fail, so it is neither a request that must run only once nor one of the highest tier. */
    private static boolean isEligibleAsProbe(CellRequest request) {
        return request.idempotent() && request.terms().tier() > ClassTerms.HIGHEST_TIER;
    }

    private void subtractPrefill(RunningRequest running) {
        pendingPrefill = Math.max(0, pendingPrefill - running.placementRequest().prefillWork());
    }
}
