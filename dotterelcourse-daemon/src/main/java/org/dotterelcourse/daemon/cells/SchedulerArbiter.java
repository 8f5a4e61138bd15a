package org.dotterelcourse.daemon.cells;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.dotterelcourse.coordination.grant.Arbiter;
import org.dotterelcourse.coordination.grant.Decision;
import org.dotterelcourse.policy.cell.CellEffect;
import org.dotterelcourse.policy.cell.CellScheduler;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;

/**
 * Adapts the cell scheduler to the grant protocol.
 *
 * <p>Decisions caused by a changed worker list or a load report are returned by the next call of a protocol method, at the
 * latest at the next tick.
 */
final class SchedulerArbiter implements Arbiter {
    private final CellScheduler scheduler;
    private final List<CellEffect> pendingEffects = new ArrayList<>();
    private final Map<Long, String> workersByGrant = new HashMap<>();
    private long lastGrant;

    SchedulerArbiter(CellScheduler scheduler) {
        this.scheduler = scheduler;
    }

    void updateWorkers(List<WorkerInfo> workers, long nowNanos) {
        pendingEffects.addAll(scheduler.updateWorkers(workers, nowNanos));
    }

    void recordLoadReport(WorkerReport report, long nowNanos) {
        pendingEffects.addAll(scheduler.recordLoadReport(report, nowNanos));
    }

    /** Returns the number of the latest grant, for use with {@link #hasGrantUpTo}. */
    long lastGrant() {
        return lastGrant;
    }

    /** Returns whether a worker still has an active grant with a number up to the given one. */
    boolean hasGrantUpTo(String worker, long grantNumber) {
        return workersByGrant.entrySet().stream()
                .anyMatch(entry ->
                        entry.getKey() <= grantNumber && entry.getValue().equals(worker));
    }

    int waiting() {
        return scheduler.waitingCount();
    }

    @Override
    public List<Decision> offer(String askId, long arrivalNanos, byte[] terms, long nowNanos) {
        return toDecisions(scheduler.offer(TermsCodec.decode(askId, arrivalNanos, terms), nowNanos));
    }

    @Override
    public List<Decision> withdraw(String askId, long nowNanos) {
        return toDecisions(scheduler.withdraw(askId, nowNanos));
    }

    @Override
    public List<Decision> progress(long grant, int units, long nowNanos) {
        return toDecisions(scheduler.progress(grant, units, nowNanos));
    }

    @Override
    public List<Decision> release(long grant, byte[] observation, long nowNanos) {
        workersByGrant.remove(grant);
        return toDecisions(scheduler.release(grant, TermsCodec.decodeObservation(observation), nowNanos));
    }

    @Override
    public List<Decision> expire(long grant, long nowNanos) {
        Completion cancelled = new Completion(Completion.End.CANCELLED, -1, 0, 0);
        workersByGrant.remove(grant);
        return toDecisions(scheduler.release(grant, cancelled, nowNanos));
    }

    @Override
    public long adopt(String askId, String worker, long arrivalNanos, byte[] terms, long nowNanos) {
        long grant = scheduler.adopt(TermsCodec.decode(askId, arrivalNanos, terms), worker, nowNanos);
        recordGrant(grant, worker);
        return grant;
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        return toDecisions(scheduler.advance(nowNanos));
    }

    private List<Decision> toDecisions(List<CellEffect> effects) {
        List<Decision> decisions = new ArrayList<>(pendingEffects.size() + effects.size());
        pendingEffects.forEach(effect -> decisions.add(toDecision(effect)));
        pendingEffects.clear();
        effects.forEach(effect -> decisions.add(toDecision(effect)));
        return decisions;
    }

    private Decision toDecision(CellEffect effect) {
        if (effect instanceof CellEffect.Granted granted) {
            recordGrant(granted.grant(), granted.worker());
            return new Decision.Granted(granted.requestId(), granted.grant(), granted.worker());
        }
        if (effect instanceof CellEffect.Refused refused) {
            return new Decision.Refused(refused.requestId(), refused.reason().name(), refused.retryAfterNanos());
        }
        CellEffect.Preempted preempted = (CellEffect.Preempted) effect;
        workersByGrant.remove(preempted.grant());
        return new Decision.Preempted(preempted.requestId(), preempted.grant());
    }

    private void recordGrant(long grant, String worker) {
        workersByGrant.put(grant, worker);
        lastGrant = grant;
    }
}
