package org.dotterelcourse.daemon.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.policy.cell.Ask;
import org.dotterelcourse.policy.cell.CellEffect;
import org.dotterelcourse.policy.cell.CellScheduler;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.RefusalReason;
import org.dotterelcourse.policy.cell.WorkerInfo;
import reactor.core.publisher.MonoSink;

/** A cell that this daemon schedules by itself. Used on the control loop only. */
final class LocalCell {
    private static final long NO_WORKER_RETRY_NANOS = 1_000_000_000L;

    private final CellScheduler scheduler;
    private final PendingGrants pending;
    private final Map<String, Worker> workers = new HashMap<>();

    LocalCell(String name, CellScheduler scheduler) {
        this.scheduler = scheduler;
        this.pending = new PendingGrants(name);
    }

    void workers(List<Worker> published, List<WorkerInfo> infos, long nowNanos) {
        workers.clear();
        published.forEach(worker -> workers.put(worker.name(), worker));
        carryOut(scheduler.workers(infos, nowNanos), nowNanos);
    }

    void offer(Ask ask, MonoSink<GrantResult> sink, long nowNanos) {
        if (workers.isEmpty()) {
            sink.success(new GrantResult.Refused(RefusalReason.NO_WORKER, NO_WORKER_RETRY_NANOS));
            return;
        }
        pending.add(ask.id(), sink);
        carryOut(scheduler.offer(ask, nowNanos), nowNanos);
    }

    void cancel(String askId, long nowNanos) {
        if (pending.isWaiting(askId)) {
            pending.forget(askId);
            carryOut(scheduler.withdraw(askId, nowNanos), nowNanos);
            return;
        }
        pending.outstanding(askId).ifPresent(grant -> release(grant, GrantUse.unused(), nowNanos));
    }

    void progress(Grant grant, int outputTokens, long nowNanos) {
        carryOut(scheduler.progress(grant.number(), outputTokens, nowNanos), nowNanos);
    }

    void release(Grant grant, Completion completion, long nowNanos) {
        if (pending.release(grant)) {
            carryOut(scheduler.release(grant.number(), completion, nowNanos), nowNanos);
        }
    }

    void advance(long nowNanos) {
        carryOut(scheduler.advance(nowNanos), nowNanos);
    }

    int waiting() {
        return scheduler.waiting();
    }

    private void carryOut(List<CellEffect> effects, long nowNanos) {
        for (CellEffect effect : effects) {
            if (effect instanceof CellEffect.Granted granted) {
                granted(granted, nowNanos);
            } else if (effect instanceof CellEffect.Refused refused) {
                pending.refused(refused.askId(), new GrantResult.Refused(refused.reason(), refused.retryAfterNanos()));
            } else if (effect instanceof CellEffect.Preempted preempted) {
                pending.preempted(preempted.grant());
            }
        }
    }

    private void granted(CellEffect.Granted granted, long nowNanos) {
        Worker worker = workers.get(granted.worker());
        Optional<Grant> handed = pending.granted(granted.askId(), granted.grant(), worker);
        if (handed.isEmpty()) {
            carryOut(scheduler.release(granted.grant(), GrantUse.unused(), nowNanos), nowNanos);
        }
    }
}
