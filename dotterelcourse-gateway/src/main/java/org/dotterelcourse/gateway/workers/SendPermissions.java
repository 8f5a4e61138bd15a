package org.dotterelcourse.gateway.workers;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.Predicate;

import org.dotterelcourse.policy.cold.ColdStart;
import org.dotterelcourse.policy.rate.WorkerBackoffs;
import org.dotterelcourse.policy.rate.WorkerLimits;
import org.dotterelcourse.policy.selection.SendPermission;

/** Determines whether this process may send a worker a request now, by what workers have stated and by cold starts. */
final class SendPermissions {
    private final RateShareHolders rateShareHolders;
    private final WorkerLimits limits = new WorkerLimits();
    private final BrittleWorkers brittle;
    private final WorkerBackoffs backoffs = new WorkerBackoffs();
    private Function<String, ColdStart> coldStartByUpstream = upstream -> ColdStart.none();

    SendPermissions(RateShareHolders rateShareHolders, BrittleWorkers brittle) {
        this.rateShareHolders = rateShareHolders;
        this.brittle = brittle;
    }

    /** Sets the limits of cold workers by the name of the upstream. */
    void configureUpstreams(Function<String, ColdStart> coldStart) {
        coldStartByUpstream = coldStart;
    }

    /** Updates the members of the fleet, among which the request rates of workers are divided. */
    void updateFleet(String self, List<String> others, long nowNanos) {
        rateShareHolders.updateFleet(self, others, nowNanos);
    }

    /** Returns whether this process is the one of the fleet that a key is assigned to. */
    boolean isFirstHolder(String key, long nowNanos) {
        return rateShareHolders.includesSelf(key, 1, nowNanos);
    }

    /** Removes what a worker that is no longer published has stated. */
    void remove(int incarnation) {
        limits.remove(incarnation);
        brittle.statements().remove(incarnation);
    }

    /** Returns the limits of cold workers of an upstream. */
    ColdStart coldStart(String upstream) {
        return coldStartByUpstream.apply(upstream);
    }

    /** Returns whether this process may send the worker a request now. */
    SendPermission permission(WorkerState worker, ColdStart coldStart, long nowNanos) {
        if (backoffs.remainingMillis(worker.incarnation(), nowNanos) > 0) {
            return SendPermission.BACKING_OFF;
        }
        if (brittle.maxRejections(worker, nowNanos).isPresent() && !brittle.mayAsk(worker, nowNanos)) {
            return SendPermission.DENIED;
        }
        return worker.sendPermission(coldStart, limits.limit(worker.incarnation()), rateShareHolders, nowNanos);
    }

    /** Returns the time until the first backoff of the accepted workers ends; empty unless all of them have asked for one. */
    OptionalLong sharedBackoffMillis(List<WorkerState> workers, Predicate<WorkerEntry> accepted, long nowNanos) {
        if (!backoffs.isAnyActive(nowNanos)) {
            return OptionalLong.empty();
        }
        OptionalLong shortest = workers.stream()
                .filter(worker -> accepted.test(worker.entry()))
                .mapToLong(worker -> backoffs.remainingMillis(worker.incarnation(), nowNanos))
                .min();
        return shortest.isPresent() && shortest.getAsLong() > 0 ? shortest : OptionalLong.empty();
    }

    WorkerLimits limits() {
        return limits;
    }

    WorkerBackoffs backoffs() {
        return backoffs;
    }
}
