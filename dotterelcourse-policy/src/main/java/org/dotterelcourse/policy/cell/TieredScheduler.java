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
import org.dotterelcourse.policy.placement.Candidate;
import org.dotterelcourse.policy.placement.CellPlacement;
import org.dotterelcourse.policy.placement.Placement;
import org.dotterelcourse.policy.placement.Running;
import org.dotterelcourse.policy.preemption.Preemption;
import org.dotterelcourse.policy.preemption.ResumablePreemption;
import org.dotterelcourse.policy.queue.TieredQueue;
import org.dotterelcourse.policy.queue.Waiting;
import org.dotterelcourse.policy.queue.WaitingQueue;

/**
 * The scheduler of a cell: puts together order of service, admission, estimates, placement and preemption, each behind an
 * interface of its own. It has no policy itself but the order in which they are asked.
 */
public final class TieredScheduler implements CellScheduler {
    /**
     * In this time a request to preempt is looked for at most once: a wrong forecast can't empty a cell, and a search, which
     * looks at all that run, isn't paid for by each decision.
     */
    private static final long PREEMPTION_INTERVAL_NANOS = 20_000_000L;

    /** With less of its target left than this fraction, a request is taken to miss it whatever is forecast. */
    private static final double LEAST_TARGET_LEFT = 0.25;

    private final CellSettings settings;
    private final WaitingQueue queue;
    private final OutputEstimator estimator;
    private final Admission admission;
    private final Placement placement;
    private final Preemption preemption;
    private final Map<Long, Running> running = new HashMap<>();
    private final Map<Long, Double> charges = new HashMap<>();
    private final Set<String> runningIds = new HashSet<>();
    private long lastGrant;
    private long lastSequence;
    private boolean noRoomForLong;
    private long searchedNanos = Long.MIN_VALUE / 2;

    private TieredScheduler(Builder builder) {
        settings = builder.settings;
        queue = new TieredQueue(settings);
        estimator =
                settings.isEnabled(Mechanism.LEARNED_ESTIMATES) ? new LearnedOutputEstimator() : new FixedOutputEstimator();
        admission = new DrainRateAdmission();
        placement = new CellPlacement(settings);
        preemption = new ResumablePreemption(settings, estimator, placement);
    }

    /**
     * Starts from default settings.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public List<CellEffect> offer(CellRequest ask, long nowNanos) {
        if (queue.contains(ask.id()) || runningIds.contains(ask.id())) {
            return List.of();
        }
        Waiting waiting = waiting(ask);
        double ahead = queue.workAhead(waiting);
        if (!placement.canServe(ask)) {
            return List.of(refusal(ask, RefusalReason.NO_WORKER, ahead));
        }
        if (isTooLate(ask, ahead, nowNanos)) {
            return List.of(refusal(ask, RefusalReason.TOO_LATE, ahead));
        }
        queue.add(waiting);
        List<CellEffect> effects = new ArrayList<>();
        serve(effects, nowNanos);
        Optional<Waiting> overClass = queue.shedFromClass(ask.terms().name(), nowNanos);
        overClass.ifPresent(shed -> effects.add(refuse(shed, RefusalReason.CLASS_FULL)));
        Optional<Waiting> overCell = queue.shed(nowNanos);
        overCell.ifPresent(shed -> effects.add(refuse(shed, RefusalReason.CELL_FULL)));
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
        Running found = running.get(grant);
        if (found == null) {
            return List.of();
        }
        boolean becomesLong = isLong(outputTokens);
        placement.progress(found, outputTokens, becomesLong, nowNanos);
        return List.of();
    }

    @Override
    public List<CellEffect> release(long grant, Completion completion, long nowNanos) {
        Running found = running.get(grant);
        if (found == null) {
            return List.of();
        }
        end(found, completion, nowNanos);
        return serve(nowNanos);
    }

    @Override
    public long adopt(CellRequest ask, String worker, long nowNanos) {
        queue.remove(ask.id());
        grant(waiting(ask), worker, false, nowNanos);
        // The class was charged by the scheduler that gave the grant; here it pays at the end for what was done.
        charges.put(lastGrant, 0.0);
        return lastGrant;
    }

    @Override
    public List<CellEffect> updateWorkers(List<WorkerInfo> published, long nowNanos) {
        placement.workers(published, nowNanos);
        List<CellEffect> effects = new ArrayList<>();
        for (Waiting waiting : queue.all()) {
            if (!waiting.ask().excludedWorkers().isEmpty() && !placement.canServe(waiting.ask())) {
                queue.remove(waiting.ask().id());
                effects.add(refuse(waiting, RefusalReason.NO_WORKER));
            }
        }
        serve(effects, nowNanos);
        return effects;
    }

    @Override
    public List<CellEffect> recordLoadReport(WorkerReport report, long nowNanos) {
        placement.report(report, nowNanos);
        return serve(nowNanos);
    }

    @Override
    public List<CellEffect> advance(long nowNanos) {
        placement.advance(nowNanos);
        List<CellEffect> effects = serve(nowNanos);
        preempt(effects, nowNanos);
        return effects;
    }

    @Override
    public int waitingCount() {
        return queue.size();
    }

    private List<CellEffect> serve(long nowNanos) {
        List<CellEffect> effects = new ArrayList<>();
        serve(effects, nowNanos);
        return effects;
    }

    private void serve(List<CellEffect> effects, long nowNanos) {
        refuseExpired(effects, nowNanos);
        while (queue.size() > 0 && placement.hasRoom(nowNanos)) {
            noRoomForLong = false;
            Optional<WaitingQueue.Taken<String>> taken = queue.next(waiting -> place(waiting, nowNanos), nowNanos);
            if (taken.isEmpty()) {
                return;
            }
            WaitingQueue.Taken<String> next = taken.get();
            effects.add(grant(next.waiting(), next.place(), next.owed(), nowNanos));
        }
    }

    /**
     * Finds a place. When a long request that any worker would take finds none, no other long one does until something is
     * granted; they are passed over without a search, since a queue of long jobs has many heads.
     */
    private Optional<String> place(Waiting waiting, long nowNanos) {
        Candidate candidate = candidate(waiting);
        if (candidate.isLong() && noRoomForLong) {
            return Optional.empty();
        }
        Optional<String> worker = placement.place(candidate, nowNanos);
        CellRequest ask = waiting.ask();
        boolean anyWorkerWouldDo = ask.excludedWorkers().isEmpty()
                && ask.idempotent()
                && ask.terms().tier() > ClassTerms.HIGHEST_TIER;
        noRoomForLong |= candidate.isLong() && worker.isEmpty() && anyWorkerWouldDo;
        return worker;
    }

    private void refuseExpired(List<CellEffect> effects, long nowNanos) {
        if (!settings.isEnabled(Mechanism.EARLY_REFUSAL)) {
            return;
        }
        Optional<Waiting> expired = queue.expired(nowNanos);
        while (expired.isPresent()) {
            effects.add(refuse(expired.get(), RefusalReason.TOO_LATE));
            expired = queue.expired(nowNanos);
        }
    }

    private void preempt(List<CellEffect> effects, long nowNanos) {
        boolean tooSoon = nowNanos - searchedNanos < PREEMPTION_INTERVAL_NANOS;
        if (tooSoon || !settings.isEnabled(Mechanism.PREEMPTION) || queue.size() == 0) {
            return;
        }
        Waiting urgent = queue.mostUrgent(nowNanos).orElseThrow();
        if (!wouldMiss(urgent, nowNanos)) {
            return;
        }
        searchedNanos = nowNanos;
        Optional<Running> victim = preemption.victim(urgent.ask(), running.values());
        if (victim.isEmpty()) {
            return;
        }
        Running stopped = victim.get();
        effects.add(new CellEffect.Preempted(stopped.ask().id(), stopped.grant()));
        int tokens = stopped.tokens() - stopped.ask().resumedTokens();
        end(stopped, new Completion(Completion.End.CANCELLED, -1, nowNanos - stopped.sinceNanos(), tokens), nowNanos);
        queue.take(urgent.ask().id());
        effects.add(grant(urgent, stopped.worker(), false, nowNanos));
    }

    /** Whether waiting for a slot would take a request past its target: by its own place, or by the length of its tier. */
    private boolean wouldMiss(Waiting urgent, long nowNanos) {
        CellRequest ask = urgent.ask();
        if (urgent.isLate(nowNanos)) {
            return false;
        }
        long nextSlotNanos = admission.drainNanos(urgent.work(), placement.slots());
        long leastLeft = (long) (LEAST_TARGET_LEFT * ask.terms().targetNanos());
        boolean headMisses = nowNanos + Math.max(leastLeft, nextSlotNanos) > urgent.startByNanos();
        long tierNanos = admission.drainNanos(queue.workAhead(urgent), placement.slots());
        long patienceNanos = urgent.startByNanos() - ask.arrivalNanos();
        boolean tierMisses = ask.terms().lateIsUseless() && tierNanos > patienceNanos;
        return headMisses || tierMisses;
    }

    private boolean isTooLate(CellRequest ask, double workAhead, long nowNanos) {
        if (!settings.isEnabled(Mechanism.EARLY_REFUSAL) || !ask.terms().lateIsUseless() || ask.resumedTokens() > 0) {
            return false;
        }
        boolean isPast = admission.startByNanos(ask) <= nowNanos;
        boolean hasRoom = queue.size() == 0 && placement.hasRoom(nowNanos);
        return isPast || !hasRoom && admission.tooLate(ask, workAhead, placement.slots(), nowNanos);
    }

    private CellEffect grant(Waiting waiting, String worker, boolean owed, long nowNanos) {
        lastGrant++;
        Running granted = new Running(lastGrant, candidate(waiting), worker, owed, nowNanos);
        running.put(lastGrant, granted);
        charges.put(lastGrant, waiting.work());
        runningIds.add(waiting.ask().id());
        placement.granted(granted, nowNanos);
        return new CellEffect.Granted(waiting.ask().id(), lastGrant, worker);
    }

    private void end(Running ended, Completion completion, long nowNanos) {
        running.remove(ended.grant());
        runningIds.remove(ended.ask().id());
        double charged = charges.remove(ended.grant());
        placement.released(ended, completion, nowNanos);
        CellRequest ask = ended.ask();
        boolean isAnswered = completion.end() == Completion.End.ANSWERED;
        // A plain service's answer has no tokens to count, and is one unit of work.
        int tokens = isAnswered ? Math.max(1, completion.outputTokens()) : completion.outputTokens();
        double actual = tokens > 0 ? ended.candidate().prefillWork() + tokens : 0;
        queue.settle(ask.terms().name(), ask.customer(), charged, actual);
        if (isAnswered) {
            estimator.observe(ask.terms(), ask.customer(), ask.resumedTokens() + tokens);
            admission.observe(ask, actual, completion, nowNanos);
        }
    }

    private CellEffect refuse(Waiting waiting, RefusalReason reason) {
        return refusal(waiting.ask(), reason, queue.workAhead(waiting));
    }

    private CellEffect refusal(CellRequest ask, RefusalReason reason, double workAhead) {
        return new CellEffect.Refused(ask.id(), reason, admission.retryAfterNanos(workAhead, placement.slots()));
    }

    private Waiting waiting(CellRequest ask) {
        lastSequence++;
        double output = estimator.remaining(ask.terms(), ask.customer(), ask.resumedTokens());
        return new Waiting(ask, prefillWork(ask) + output, output, admission.startByNanos(ask), lastSequence);
    }

    private Candidate candidate(Waiting waiting) {
        CellRequest ask = waiting.ask();
        double whole = ask.resumedTokens() + waiting.expectedOutput();
        return new Candidate(ask, prefillWork(ask), waiting.expectedOutput(), isLong(whole));
    }

    private double prefillWork(CellRequest ask) {
        return settings.prefillWeight() * (ask.inputTokens() + ask.resumedTokens());
    }

    private boolean isLong(double tokens) {
        double mean = estimator.meanOutput();
        return mean > 0 && tokens > settings.longJobFactor() * mean;
    }

    /** Puts a {@link TieredScheduler} together. */
    public static final class Builder {
        private CellSettings settings = CellSettings.builder().build();

        private Builder() {}

        /**
         * Sets the cell's figures.
         *
         * @param cellSettings the figures
         * @return this
         */
        public Builder settings(CellSettings cellSettings) {
            settings = cellSettings;
            return this;
        }

        /**
         * Makes a scheduler with nothing waiting and no workers.
         *
         * @return the scheduler
         */
        public TieredScheduler build() {
            return new TieredScheduler(this);
        }
    }
}
