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
 * Lets the policy's scheduler decide for the grant protocol.
 *
 * <p>What follows from a changed list of workers or from a load report is handed out with the next call, which is never
 * later than the next tick.
 */
final class SchedulerArbiter implements Arbiter {
    private final CellScheduler scheduler;
    private final List<CellEffect> held = new ArrayList<>();
    private final Map<Long, String> running = new HashMap<>();
    private long lastGrant;

    SchedulerArbiter(CellScheduler scheduler) {
        this.scheduler = scheduler;
    }

    void workers(List<WorkerInfo> workers, long nowNanos) {
        held.addAll(scheduler.updateWorkers(workers, nowNanos));
    }

    void report(WorkerReport report, long nowNanos) {
        held.addAll(scheduler.recordLoadReport(report, nowNanos));
    }

    /** The newest grant, as a mark for {@link #hasGrantUpTo}. */
    long lastGrant() {
        return lastGrant;
    }

    /** Whether a worker still has a grant that is not newer than a mark. */
    boolean hasGrantUpTo(String worker, long mark) {
        return running.entrySet().stream()
                .anyMatch(each -> each.getKey() <= mark && each.getValue().equals(worker));
    }

    int waiting() {
        return scheduler.waitingCount();
    }

    @Override
    public List<Decision> offer(String askId, long arrivalNanos, byte[] terms, long nowNanos) {
        return decisions(scheduler.offer(TermsCodec.decode(askId, arrivalNanos, terms), nowNanos));
    }

    @Override
    public List<Decision> withdraw(String askId, long nowNanos) {
        return decisions(scheduler.withdraw(askId, nowNanos));
    }

    @Override
    public List<Decision> progress(long grant, int units, long nowNanos) {
        return decisions(scheduler.progress(grant, units, nowNanos));
    }

    @Override
    public List<Decision> release(long grant, byte[] observation, long nowNanos) {
        running.remove(grant);
        return decisions(scheduler.release(grant, TermsCodec.decodeObservation(observation), nowNanos));
    }

    @Override
    public List<Decision> expire(long grant, long nowNanos) {
        Completion unknown = new Completion(Completion.End.CANCELLED, -1, 0, 0);
        running.remove(grant);
        return decisions(scheduler.release(grant, unknown, nowNanos));
    }

    @Override
    public long adopt(String askId, String worker, long arrivalNanos, byte[] terms, long nowNanos) {
        long grant = scheduler.adopt(TermsCodec.decode(askId, arrivalNanos, terms), worker, nowNanos);
        noteGrant(grant, worker);
        return grant;
    }

    @Override
    public List<Decision> advance(long nowNanos) {
        return decisions(scheduler.advance(nowNanos));
    }

    private List<Decision> decisions(List<CellEffect> effects) {
        List<Decision> decisions = new ArrayList<>(held.size() + effects.size());
        held.forEach(effect -> decisions.add(decision(effect)));
        held.clear();
        effects.forEach(effect -> decisions.add(decision(effect)));
        return decisions;
    }

    private Decision decision(CellEffect effect) {
        if (effect instanceof CellEffect.Granted granted) {
            noteGrant(granted.grant(), granted.worker());
            return new Decision.Granted(granted.requestId(), granted.grant(), granted.worker());
        }
        if (effect instanceof CellEffect.Refused refused) {
            return new Decision.Refused(refused.requestId(), refused.reason().name(), refused.retryAfterNanos());
        }
        CellEffect.Preempted preempted = (CellEffect.Preempted) effect;
        running.remove(preempted.grant());
        return new Decision.Preempted(preempted.requestId(), preempted.grant());
    }

    private void noteGrant(long grant, String worker) {
        running.put(grant, worker);
        lastGrant = grant;
    }
}
