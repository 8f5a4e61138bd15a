package org.dotterelcourse.gateway;

import java.util.OptionalDouble;

import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.Workers;
import org.dotterelcourse.policy.rate.LimitNotice;
import org.dotterelcourse.policy.rate.WorkerLimits;

/**
 * Applies what workers state about themselves in responses to this process or its peers, and records changes in the audit
 * trail. Used on the gateway's event loop only.
 */
public final class WorkerStatements {
    private final Workers workers;
    private AuditTrail audit;

    WorkerStatements(Workers workers) {
        this.workers = workers;
    }

    void setAudit(AuditTrail value) {
        audit = value;
    }

    /**
     * Records the request rate limit that a worker has set in a response. Ignored if the worker is no longer published.
     *
     * @param worker the worker that sent the response
     * @param perSecond requests per second that it accepts from all processes together; empty if the response sets no
     *     limit
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordLimit(WorkerEntry worker, OptionalDouble perSecond, long nowNanos) {
        update(workers.limits(), AuditEvent.Kind.LIMIT, worker, perSecond, nowNanos);
    }

    /**
     * Records whether a worker has stated in a response that it is brittle. Ignored if the worker is no longer published.
     *
     * @param worker the worker that sent the response
     * @param rejectionsPerSecond rejections per second for want of room above which it crashes; empty if it is not brittle
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordBrittleness(WorkerEntry worker, OptionalDouble rejectionsPerSecond, long nowNanos) {
        boolean wasBrittle =
                workers.brittle().statements().limit(worker.incarnation()).isPresent();
        update(workers.brittle().statements(), AuditEvent.Kind.BRITTLE, worker, rejectionsPerSecond, nowNanos);
        if (wasBrittle || rejectionsPerSecond.isPresent()) {
            workers.brittle().recordUpstream(worker.upstream(), rejectionsPerSecond, nowNanos);
        }
    }

    private void update(
            WorkerLimits limits, AuditEvent.Kind kind, WorkerEntry worker, OptionalDouble perSecond, long nowNanos) {
        OptionalDouble before = limits.limit(worker.incarnation());
        boolean published = workers.findByIncarnation(worker.incarnation()).isPresent();
        if (published && limits.updateFromWorker(worker.incarnation(), perSecond, nowNanos)) {
            audit.add(kind, worker.id(), "named in an answer", describe(before), describe(perSecond));
        }
    }

    /**
     * Records that a worker has asked this process in a response to send it nothing for a time.
     *
     * @param worker the worker that sent the response
     * @param millis the time in milliseconds from now
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordBackoff(WorkerEntry worker, long millis, long nowNanos) {
        if (workers.backoffs().extend(worker.incarnation(), millis, nowNanos)) {
            audit.add(AuditEvent.Kind.BACKOFF, worker.id(), "asked in an answer", "none", millis + " ms");
        }
    }

    /**
     * Records that a worker has stated in a response that it is leaving.
     *
     * @param worker the worker that sent the response
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordLeaving(WorkerEntry worker, long nowNanos) {
        if (workers.leavingWorkers().add(worker.incarnation(), nowNanos)) {
            String after = worker.toLeaving().describe();
            audit.add(AuditEvent.Kind.UPSTREAM, worker.id(), "stated in an answer", worker.describe(), after);
        }
    }

    /**
     * Applies a peer's notice of the request rate limit of a worker. Ignored if the worker is not yet published here;
     * peers repeat their notices.
     *
     * @param notice the limit that the worker has set
     * @param peer name of the peer that sent the notice
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void applyLimitNotice(LimitNotice notice, String peer, long nowNanos) {
        apply(workers.limits(), AuditEvent.Kind.LIMIT, notice, peer, nowNanos);
    }

    /**
     * Applies a peer's notice that a worker is brittle, or no longer so. Ignored if the worker is not yet published here.
     *
     * @param notice the rejections per second that the worker bears
     * @param peer name of the peer that sent the notice
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void applyBrittlenessNotice(LimitNotice notice, String peer, long nowNanos) {
        apply(workers.brittle().statements(), AuditEvent.Kind.BRITTLE, notice, peer, nowNanos);
        workers.findByIncarnation(notice.worker())
                .ifPresent(worker -> workers.brittle()
                        .recordUpstream(
                                worker.entry().upstream(),
                                workers.brittle().statements().limit(notice.worker()),
                                nowNanos));
    }

    private void apply(WorkerLimits limits, AuditEvent.Kind kind, LimitNotice notice, String peer, long nowNanos) {
        workers.findByIncarnation(notice.worker()).ifPresent(worker -> {
            OptionalDouble before = limits.limit(notice.worker());
            if (limits.updateFromPeer(notice, nowNanos)) {
                String id = worker.entry().id();
                audit.add(kind, id, "told by " + peer, describe(before), describe(notice.perSecond()));
            }
        });
    }

    private static String describe(OptionalDouble perSecond) {
        return perSecond.isPresent() ? perSecond.getAsDouble() + " a second" : "none";
    }
}
