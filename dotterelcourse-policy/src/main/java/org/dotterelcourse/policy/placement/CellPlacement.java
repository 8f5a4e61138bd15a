package org.dotterelcourse.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.Mechanism;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/**
 * Places each request on the worker with the earliest expected finish, computed from the cell's own grants, which are
 * always up to date. Load reports lag and are used only to subtract capacity taken by requests that this cell did not
 * grant.
 *
 * <p>Answers these load patterns: a slow worker, a hot prefix, a worker crash and late load reports. Placement by load
 * reports alone would send all requests to the worker that was idle five seconds ago. Prefix affinity is rendezvous
 * hashing among the workers whose expected finish is within {@link CellSettings#affinitySlack()} of the best, so that a
 * hot prefix spreads over as many workers as its load needs and no more. The capacity of a slow worker is reduced in
 * proportion to its speed. A worker that fails, stops responding or is far slower than the others is ejected. At most a
 * third of the cell is ejected at once, because a fault that all workers seem to have is more likely on this side.
 */
public final class CellPlacement implements Placement {
    private static final long COMPARISON_INTERVAL_NANOS = 250_000_000L;
    private static final int TOKENS_PER_SAMPLE = 8;

    /** Minimum silence after which a worker with requests in flight can be suspect. */
    private static final long MIN_SUSPECT_SILENCE_NANOS = 3_000_000_000L;

    /** A worker is suspect only if it has been silent for more than this many times the median silence. */
    private static final int SUSPECT_SILENCE_FACTOR = 4;

    private final CellSettings settings;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private boolean isPublished;
    private long comparedNanos = Long.MIN_VALUE / 2;
    private int slots;

    /**
     * Creates a placement without workers.
     *
     * @param settings the cell's parameters and enabled mechanisms
     */
    public CellPlacement(CellSettings settings) {
        this.settings = settings;
    }

    @Override
    public boolean hasCapacity(long nowNanos) {
        for (Worker worker : workers.values()) {
            if (worker.hasCapacity(nowNanos)) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean canServe(CellRequest request) {
        if (!isPublished) {
            return true;
        }
        for (Worker worker : workers.values()) {
            if (!worker.isLeaving() && !request.excludedWorkers().contains(worker.name())) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean isUsable(String worker, CellRequest request) {
        Worker found = workers.get(worker);
        return found != null && found.isUsable(request);
    }

    @Override
    public Optional<String> place(PlacementRequest request, long nowNanos) {
        List<Worker> eligible = new ArrayList<>(workers.size());
        Worker best = null;
        double bestFinish = Double.POSITIVE_INFINITY;
        for (Worker worker : workers.values()) {
            if (!worker.canAccept(request, nowNanos)) {
                continue;
            }
            if (worker.health().isEjected()) {
                // An ejected worker accepts a request only as a probe that is due.
                return Optional.of(worker.name());
            }
            eligible.add(worker);
            double finish = worker.expectedFinish(request, nowNanos);
            if (finish < bestFinish) {
                best = worker;
                bestFinish = finish;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        long prefix = request.cellRequest().prefix();
        if (prefix == 0 || !settings.isEnabled(Mechanism.PREFIX_AFFINITY)) {
            return Optional.of(best.name());
        }
        return Optional.of(
                selectByAffinity(request, eligible, bestFinish, nowNanos).name());
    }

    @Override
    public void recordGrant(RunningRequest running, long nowNanos) {
        workers.computeIfAbsent(running.worker(), name -> createUnlistedWorker(name, nowNanos))
                .recordGrant(running, nowNanos);
    }

    @Override
    public void recordProgress(RunningRequest running, int outputTokens, boolean becomesLong, long nowNanos) {
        Worker worker = workers.get(running.worker());
        if (worker != null) {
            worker.recordProgress(running, outputTokens, becomesLong, TOKENS_PER_SAMPLE, nowNanos);
        }
    }

    @Override
    public void recordRelease(RunningRequest running, Completion completion, long nowNanos) {
        Worker worker = workers.get(running.worker());
        if (worker == null) {
            return;
        }
        evaluateCompletion(worker, running, completion, nowNanos);
        worker.recordRelease(running, nowNanos);
        ejectIfUnhealthy(worker, nowNanos);
        updateSlots(nowNanos);
    }

    @Override
    public void updateWorkers(List<WorkerInfo> published, long nowNanos) {
        isPublished = true;
        Map<String, WorkerInfo> byName = new LinkedHashMap<>();
        for (WorkerInfo info : published) {
            byName.put(info.name(), info);
        }
        workers.values().removeIf(worker -> !byName.containsKey(worker.name()) && worker.isIdle());
        for (Worker worker : workers.values()) {
            if (!byName.containsKey(worker.name())) {
                worker.markUnlisted();
            }
        }
        for (WorkerInfo info : byName.values()) {
            Worker existing = workers.get(info.name());
            if (existing == null) {
                workers.put(info.name(), new Worker(info, settings, nowNanos));
            } else {
                existing.updateInfo(info);
            }
        }
        updateSlots(nowNanos);
    }

    @Override
    public void recordReport(WorkerReport report, long nowNanos) {
        Worker worker = workers.get(report.worker());
        if (worker != null) {
            worker.recordReport(report);
        }
    }

    @Override
    public void advance(long nowNanos) {
        for (Worker worker : workers.values()) {
            worker.recordLoad(nowNanos);
        }
        if (nowNanos - comparedNanos < COMPARISON_INTERVAL_NANOS) {
            return;
        }
        comparedNanos = nowNanos;
        updateSlowFactors(nowNanos);
        long medianSilence = medianSilenceNanos(nowNanos);
        for (Worker worker : workers.values()) {
            if (isSuspect(worker, medianSilence, nowNanos)) {
                ejectWithinLimit(worker, nowNanos);
            }
            ejectIfUnhealthy(worker, nowNanos);
        }
        updateSlots(nowNanos);
    }

    @Override
    public int slots() {
        return slots;
    }

    @Override
    public List<String> ejectedWorkers() {
        List<String> names = new ArrayList<>();
        for (Worker worker : workers.values()) {
            if (worker.health().isEjected()) {
                names.add(worker.name());
            }
        }
        return names;
    }

    /**
     * Creates a worker that is referenced only by an adopted grant: it has left the published list, or the list has not
     * arrived yet. Without this, its capacity would be granted a second time once the list contains it.
     */
    private Worker createUnlistedWorker(String name, long nowNanos) {
        Worker worker = new Worker(new WorkerInfo(name, "", 0, false), settings, nowNanos);
        worker.markUnlisted();
        return worker;
    }

    /** Selects the worker with the highest rendezvous weight among those that are fast enough. */
    private Worker selectByAffinity(PlacementRequest request, List<Worker> eligible, double bestFinish, long nowNanos) {
        double maxFinish = bestFinish * (1 + settings.affinitySlack());
        Worker selected = null;
        long maxWeight = 0;
        for (Worker worker : eligible) {
            long weight = worker.affinityWeight(request.cellRequest().prefix());
            boolean higher = selected == null || Long.compareUnsigned(weight, maxWeight) > 0;
            if (higher && worker.expectedFinish(request, nowNanos) <= maxFinish) {
                selected = worker;
                maxWeight = weight;
            }
        }
        return selected;
    }

    private void evaluateCompletion(Worker worker, RunningRequest running, Completion completion, long nowNanos) {
        switch (completion.end()) {
            case ANSWERED -> {
                worker.recordActivity(nowNanos);
                sampleWholeResponse(worker, running, completion, nowNanos);
                worker.health().recordSuccess(worker.concurrency());
            }
            case FAILED, UNREACHABLE -> worker.health().recordFailure();
            case REFUSED -> worker.markFull(nowNanos);
            case LEAVING -> worker.markLeaving();
            default -> {
                // A cancelled request says nothing about the worker.
            }
        }
    }

    /** Takes one sample from a response without reported progress, such as that of a plain service. */
    private static void sampleWholeResponse(
            Worker worker, RunningRequest running, Completion completion, long nowNanos) {
        if (running.hasOutput() || completion.durationNanos() <= 0) {
            return;
        }
        boolean hasTokens = completion.outputTokens() > 1 && completion.firstTokenNanos() >= 0;
        double perTokenNanos = hasTokens
                ? (double) (completion.durationNanos() - completion.firstTokenNanos()) / (completion.outputTokens() - 1)
                : completion.durationNanos();
        worker.health().addSample(worker.normalizeToEmptyBatch(perTokenNanos), nowNanos);
    }

    /** Compares each worker's median time per token with the median of the cell. */
    private void updateSlowFactors(long nowNanos) {
        double[] medians = new double[workers.size()];
        int count = 0;
        for (Worker worker : workers.values()) {
            double median = worker.health().medianMicros(nowNanos);
            if (median > 0) {
                medians[count++] = median;
            }
        }
        if (count < 2) {
            return;
        }
        Arrays.sort(medians, 0, count);
        double cellMedian = medians[(count - 1) / 2];
        for (Worker worker : workers.values()) {
            worker.health().updateSlowFactor(worker.health().medianMicros(nowNanos), cellMedian);
        }
    }

    /** Returns the median silence of the workers with requests in flight; effectively infinite for fewer than two. */
    private long medianSilenceNanos(long nowNanos) {
        long[] silences = new long[workers.size()];
        int count = 0;
        for (Worker worker : workers.values()) {
            if (!worker.isIdle()) {
                silences[count++] = worker.silenceNanos(nowNanos);
            }
        }
        if (count < 2) {
            return Long.MAX_VALUE / SUSPECT_SILENCE_FACTOR;
        }
        Arrays.sort(silences, 0, count);
        return silences[(count - 1) / 2];
    }

    private static boolean isSuspect(Worker worker, long medianSilence, long nowNanos) {
        long silence = worker.silenceNanos(nowNanos);
        return silence > MIN_SUSPECT_SILENCE_NANOS
                && silence > SUSPECT_SILENCE_FACTOR * medianSilence
                && !worker.health().isBackingOff(nowNanos);
    }

    private void ejectIfUnhealthy(Worker worker, long nowNanos) {
        WorkerHealth health = worker.health();
        boolean again = health.hasFailedProbe() && !health.isBackingOff(nowNanos);
        boolean first = !health.isEjected() && health.shouldEject();
        if (again || first) {
            ejectWithinLimit(worker, nowNanos);
        }
    }

    private void ejectWithinLimit(Worker worker, long nowNanos) {
        if (!settings.isEnabled(Mechanism.EJECTION)) {
            return;
        }
        int maxEjected = (int) (workers.size() * settings.maxEjectedFraction());
        if (worker.health().isEjected() || ejectedWorkers().size() < maxEjected) {
            worker.health().eject(nowNanos);
        }
    }

    private void updateSlots(long nowNanos) {
        slots = 0;
        for (Worker worker : workers.values()) {
            slots += worker.slots(nowNanos);
        }
    }
}
