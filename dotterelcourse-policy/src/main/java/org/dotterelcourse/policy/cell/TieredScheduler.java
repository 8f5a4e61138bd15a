package org.dotterelcourse.policy.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.dotterelcourse.policy.admission.Admission;
import org.dotterelcourse.policy.admission.DrainRateAdmission;
import org.dotterelcourse.policy.estimate.FixedOutputEstimator;
import org.dotterelcourse.policy.estimate.LearnedOutputEstimator;
import org.dotterelcourse.policy.estimate.OutputEstimator;
import org.dotterelcourse.policy.placement.CellPlacement;
import org.dotterelcourse.policy.placement.Placement;
import org.dotterelcourse.policy.placement.PlacementRequest;
import org.dotterelcourse.policy.placement.RunningRequest;
import org.dotterelcourse.policy.preemption.Preemption;
import org.dotterelcourse.policy.preemption.ResumablePreemption;
import org.dotterelcourse.policy.queue.QueuedRequest;
import org.dotterelcourse.policy.queue.RequestQueue;
import org.dotterelcourse.policy.queue.TieredQueue;

/**
 * Schedules a cell by priority tiers with minimum shares. It combines queue order, admission, output estimates,
 * placement and preemption, each behind an interface of its own, and itself decides only the sequence in which these
 * are applied.
 */
public final class TieredScheduler implements CellScheduler {
    /**
     * Minimum time between searches for a request to preempt. It prevents a wrong estimate from preempting all running
     * requests of a cell, and saves most decisions the cost of the search, which visits all running requests.
     */
    private static final long PREEMPTION_INTERVAL_NANOS = 20_000_000L;

    /**
     * With less than this fraction of its target left, a request is expected to miss it, whatever the estimates say.
     */
    private static final double MIN_TARGET_FRACTION_LEFT = 0.25;

    private final CellSettings settings;
    private final RequestQueue queue;
    private final OutputEstimator estimator;
    private final Admission admission;
    private final Placement placement;
    private final Preemption preemption;
    private final Map<Long, RunningRequest> running = new HashMap<>();
    private final Map<Long, Double> chargedWork = new HashMap<>();
    private final Set<String> runningRequestIds = new HashSet<>();
    private long lastGrant;
    private long lastSequence;
    private boolean areLongJobsBlocked;
    private long lastPreemptionSearchNanos = Long.MIN_VALUE / 2;

    private TieredScheduler(Builder builder) {
        settings = builder.settings;
        queue = new TieredQueue(settings);
        estimator = settings.isEnabled(Mechanism.LEARNED_ESTIMATES)
                ? new LearnedOutputEstimator()
                : new FixedOutputEstimator();
        admission = new DrainRateAdmission();
        placement = new CellPlacement(settings);
        preemption = new ResumablePreemption(settings, estimator, placement);
    }

    /**
     * Creates a builder with default settings.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public List<CellEffect> offer(CellRequest request, long nowNanos) {
        if (queue.contains(request.id()) || runningRequestIds.contains(request.id())) {
            return List.of();
        }
        QueuedRequest queued = queuedRequest(request);
        double workAhead = queue.workAhead(queued);
        if (!placement.canServe(request)) {
            return List.of(refusal(request, RefusalReason.NO_WORKER, workAhead));
        }
        if (isTooLate(request, workAhead, nowNanos)) {
            return List.of(refusal(request, RefusalReason.TOO_LATE, workAhead));
        }
        queue.add(queued);
        List<CellEffect> effects = new ArrayList<>();
        grantQueued(effects, nowNanos);
        Optional<QueuedRequest> classOverflow =
                queue.shedFromClass(request.terms().name(), nowNanos);
        classOverflow.ifPresent(shed -> effects.add(refuse(shed, RefusalReason.CLASS_FULL)));
        Optional<QueuedRequest> cellOverflow = queue.shed(nowNanos);
        cellOverflow.ifPresent(shed -> effects.add(refuse(shed, RefusalReason.CELL_FULL)));
        preempt(effects, nowNanos);
        return effects;
    }

    @Override
    public List<CellEffect> withdraw(String requestId, long nowNanos) {
        queue.remove(requestId);
        return List.of();
    }

    @Override
    public List<CellEffect> progress(long grant, int outputTokens, long nowNanos) {
        RunningRequest granted = running.get(grant);
        if (granted == null) {
            return List.of();
        }
        boolean becomesLong = isLong(outputTokens);
        placement.recordProgress(granted, outputTokens, becomesLong, nowNanos);
        return List.of();
    }

    @Override
    public List<CellEffect> release(long grant, Completion completion, long nowNanos) {
        RunningRequest granted = running.get(grant);
        if (granted == null) {
            return List.of();
        }
        end(granted, completion, nowNanos);
        return grantQueued(nowNanos);
    }

    @Override
    public long adopt(CellRequest request, String worker, long nowNanos) {
        queue.remove(request.id());
        grant(queuedRequest(request), worker, false, nowNanos);
        // The previous scheduler has charged the class; this one charges only the actual work when the request ends.
        chargedWork.put(lastGrant, 0.0);
        return lastGrant;
    }

    @Override
    public List<CellEffect> updateWorkers(List<WorkerInfo> published, long nowNanos) {
        placement.updateWorkers(published, nowNanos);
        List<CellEffect> effects = new ArrayList<>();
        for (QueuedRequest queued : queue.all()) {
            if (!queued.request().excludedWorkers().isEmpty() && !placement.canServe(queued.request())) {
                queue.remove(queued.request().id());
                effects.add(refuse(queued, RefusalReason.NO_WORKER));
            }
        }
        grantQueued(effects, nowNanos);
        return effects;
    }

    @Override
    public List<CellEffect> recordLoadReport(WorkerReport report, long nowNanos) {
        placement.recordReport(report, nowNanos);
        return grantQueued(nowNanos);
    }

    @Override
    public List<CellEffect> advance(long nowNanos) {
        placement.advance(nowNanos);
        List<CellEffect> effects = grantQueued(nowNanos);
        preempt(effects, nowNanos);
        return effects;
    }

    @Override
    public int waitingCount() {
        return queue.size();
    }

    private List<CellEffect> grantQueued(long nowNanos) {
        List<CellEffect> effects = new ArrayList<>();
        grantQueued(effects, nowNanos);
        return effects;
    }

    private void grantQueued(List<CellEffect> effects, long nowNanos) {
        refuseExpired(effects, nowNanos);
        while (queue.size() > 0 && placement.hasCapacity(nowNanos)) {
            areLongJobsBlocked = false;
            Optional<RequestQueue.Dequeued<String>> dequeued = queue.poll(queued -> place(queued, nowNanos), nowNanos);
            if (dequeued.isEmpty()) {
                return;
            }
            RequestQueue.Dequeued<String> next = dequeued.get();
            effects.add(grant(next.queued(), next.place(), next.isMinimumShareGrant(), nowNanos));
        }
    }

    /**
     * Chooses a worker. Once a long request that any worker may serve has found no free worker, all further long
     * requests are skipped without a search until the next grant, because a queue of long jobs can have many customers
     * to try.
     */
    private Optional<String> place(QueuedRequest queued, long nowNanos) {
        PlacementRequest candidate = candidate(queued);
        if (candidate.isLong() && areLongJobsBlocked) {
            return Optional.empty();
        }
        Optional<String> worker = placement.place(candidate, nowNanos);
        CellRequest request = queued.request();
        boolean canRunOnAnyWorker = request.excludedWorkers().isEmpty()
                && request.idempotent()
                && request.terms().tier() > ClassTerms.HIGHEST_TIER;
        areLongJobsBlocked |= candidate.isLong() && worker.isEmpty() && canRunOnAnyWorker;
        return worker;
    }

    private void refuseExpired(List<CellEffect> effects, long nowNanos) {
        if (!settings.isEnabled(Mechanism.EARLY_REFUSAL)) {
            return;
        }
        Optional<QueuedRequest> expired = queue.removeExpired(nowNanos);
        while (expired.isPresent()) {
            effects.add(refuse(expired.get(), RefusalReason.TOO_LATE));
            expired = queue.removeExpired(nowNanos);
        }
    }

    private void preempt(List<CellEffect> effects, long nowNanos) {
        boolean isTooSoon = nowNanos - lastPreemptionSearchNanos < PREEMPTION_INTERVAL_NANOS;
        if (isTooSoon || !settings.isEnabled(Mechanism.PREEMPTION) || queue.size() == 0) {
            return;
        }
        QueuedRequest urgent = queue.mostUrgent(nowNanos).orElseThrow();
        if (!wouldMissTarget(urgent, nowNanos)) {
            return;
        }
        lastPreemptionSearchNanos = nowNanos;
        Optional<RunningRequest> victim = preemption.selectVictim(urgent.request(), running.values());
        if (victim.isEmpty()) {
            return;
        }
        RunningRequest preempted = victim.get();
        effects.add(new CellEffect.Preempted(preempted.cellRequest().id(), preempted.grant()));
        int tokens = preempted.outputTokens() - preempted.cellRequest().resumedTokens();
        end(
                preempted,
                new Completion(Completion.End.CANCELLED, -1, nowNanos - preempted.grantedNanos(), tokens),
                nowNanos);
        queue.pollById(urgent.request().id());
        effects.add(grant(urgent, preempted.worker(), false, nowNanos));
    }

    /**
     * Whether a request would miss its target if it waited for the next free slot, or, for a class whose late answers
     * are useless, whether the work queued before a new request of its class takes longer than the target allows.
     */
    private boolean wouldMissTarget(QueuedRequest urgent, long nowNanos) {
        CellRequest request = urgent.request();
        if (urgent.isLate(nowNanos)) {
            return false;
        }
        long nextSlotNanos = admission.drainNanos(urgent.work(), placement.slots());
        long minimumLeftNanos =
                (long) (MIN_TARGET_FRACTION_LEFT * request.terms().targetNanos());
        boolean headMisses = nowNanos + Math.max(minimumLeftNanos, nextSlotNanos) > urgent.latestStartNanos();
        long drainNanos = admission.drainNanos(queue.workAhead(urgent), placement.slots());
        long allowedWaitNanos = urgent.latestStartNanos() - request.arrivalNanos();
        boolean tierMisses = request.terms().lateIsUseless() && drainNanos > allowedWaitNanos;
        return headMisses || tierMisses;
    }

    private boolean isTooLate(CellRequest request, double workAhead, long nowNanos) {
        if (!settings.isEnabled(Mechanism.EARLY_REFUSAL)
                || !request.terms().lateIsUseless()
                || request.resumedTokens() > 0) {
            return false;
        }
        boolean isLate = admission.latestStartNanos(request) <= nowNanos;
        boolean canStartNow = queue.size() == 0 && placement.hasCapacity(nowNanos);
        return isLate || !canStartNow && admission.isTooLate(request, workAhead, placement.slots(), nowNanos);
    }

    private CellEffect grant(QueuedRequest queued, String worker, boolean isMinimumShareGrant, long nowNanos) {
        lastGrant++;
        RunningRequest granted =
                new RunningRequest(lastGrant, candidate(queued), worker, isMinimumShareGrant, nowNanos);
        running.put(lastGrant, granted);
        chargedWork.put(lastGrant, queued.work());
        runningRequestIds.add(queued.request().id());
        placement.recordGrant(granted, nowNanos);
        return new CellEffect.Granted(queued.request().id(), lastGrant, worker);
    }

    private void end(RunningRequest granted, Completion completion, long nowNanos) {
        running.remove(granted.grant());
        runningRequestIds.remove(granted.cellRequest().id());
        double charged = chargedWork.remove(granted.grant());
        placement.recordRelease(granted, completion, nowNanos);
        CellRequest request = granted.cellRequest();
        boolean isAnswered = completion.end() == Completion.End.ANSWERED;
        // The answer of a plain service has no tokens, and counts as one unit of work.
        int tokens = isAnswered ? Math.max(1, completion.outputTokens()) : completion.outputTokens();
        double actual = tokens > 0 ? granted.placementRequest().prefillWork() + tokens : 0;
        queue.correctCharge(request.terms().name(), request.customer(), charged, actual);
        if (isAnswered) {
            estimator.observe(request.terms(), request.customer(), request.resumedTokens() + tokens);
            admission.observe(request, actual, completion, nowNanos);
        }
    }

    private CellEffect refuse(QueuedRequest queued, RefusalReason reason) {
        return refusal(queued.request(), reason, queue.workAhead(queued));
    }

    private CellEffect refusal(CellRequest request, RefusalReason reason, double workAhead) {
        return new CellEffect.Refused(request.id(), reason, admission.retryAfterNanos(workAhead, placement.slots()));
    }

    private QueuedRequest queuedRequest(CellRequest request) {
        lastSequence++;
        double expectedOutput = estimator.remaining(request.terms(), request.customer(), request.resumedTokens());
        return new QueuedRequest(
                request,
                prefillWork(request) + expectedOutput,
                expectedOutput,
                admission.latestStartNanos(request),
                lastSequence);
    }

    private PlacementRequest candidate(QueuedRequest queued) {
        CellRequest request = queued.request();
        double totalOutput = request.resumedTokens() + queued.expectedOutput();
        return new PlacementRequest(request, prefillWork(request), queued.expectedOutput(), isLong(totalOutput));
    }

    private double prefillWork(CellRequest request) {
        return settings.prefillWeight() * (request.inputTokens() + request.resumedTokens());
    }

    private boolean isLong(double tokens) {
        double mean = estimator.meanOutput();
        return mean > 0 && tokens > settings.longJobFactor() * mean;
    }

    /** Builds a {@link TieredScheduler}. */
    public static final class Builder {
        private CellSettings settings = CellSettings.builder().build();

        private Builder() {}

        /**
         * Sets the parameters of the cell.
         *
         * @param cellSettings the parameters
         * @return this builder
         */
        public Builder settings(CellSettings cellSettings) {
            settings = cellSettings;
            return this;
        }

        /**
         * Builds a scheduler with an empty queue and no workers.
         *
         * @return the scheduler
         */
        public TieredScheduler build() {
            return new TieredScheduler(this);
        }
    }
}
