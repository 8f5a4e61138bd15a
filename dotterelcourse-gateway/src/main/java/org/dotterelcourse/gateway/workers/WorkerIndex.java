package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.dotterelcourse.policy.selection.WorkerRanking;

/**
 * Index of the workers that may get requests, by upstream and in the order of {@link WorkerRanking}. Rebuilt on demand
 * after the set of workers has changed, which is rarer than a request.
 */
final class WorkerIndex {
    private final Collection<WorkerState> workers;
    private final Predicate<WorkerEntry> isEligible;
    private final SelectionCounters counters;
    private final Map<String, List<WorkerState>> eligibleByUpstream = new HashMap<>();
    private Predicate<String> upstreamExists = upstream -> true;
    private boolean valid;

    /**
     * Creates an index.
     *
     * @param workers all published workers
     * @param isEligible whether a worker with an entry may get requests, unless another one has replaced it
     * @param counters counts the rebuilds
     */
    WorkerIndex(Collection<WorkerState> workers, Predicate<WorkerEntry> isEligible, SelectionCounters counters) {
        this.workers = workers;
        this.isEligible = isEligible;
        this.counters = counters;
    }

    /** Returns whether two entries of one start of a worker have the same place in the index. */
    static boolean isEquivalent(WorkerEntry first, WorkerEntry second) {
        return first.leaving() == second.leaving()
                && first.startMillis() == second.startMillis()
                && first.port() == second.port()
                && first.host().equals(second.host())
                && first.upstream().equals(second.upstream())
                && first.dataCentre().equals(second.dataCentre());
    }

    /** Sets whether an upstream is configured. */
    void configureUpstreams(Predicate<String> exists) {
        upstreamExists = exists;
        valid = false;
    }

    /** Records that the set of workers, one of their entries or their eligibility has changed. */
    void invalidate() {
        valid = false;
    }

    /** Returns the eligible workers of an upstream in the order of their ranks. */
    List<WorkerState> eligible(String upstream) {
        if (!valid) {
            rebuild();
            valid = true;
        }
        return eligibleByUpstream.getOrDefault(upstream, List.of());
    }

    private void rebuild() {
        counters.recordIndexRebuild();
        Map<String, WorkerState> latest = latestByAddress();
        eligibleByUpstream.clear();
        for (WorkerState worker : workers) {
            WorkerState replacement = latest.get(worker.address());
            if (isEligible.test(worker.entry()) && (replacement == null || replacement == worker)) {
                eligibleByUpstream
                        .computeIfAbsent(worker.entry().upstream(), upstream -> new ArrayList<>())
                        .add(worker);
            }
        }
        eligibleByUpstream
                .values()
                .forEach(each -> each.sort((first, second) -> WorkerRanking.compare(
                        first.address(), first.entry().id(),
                        second.address(), second.entry().id())));
    }

    /**
     * Returns the worker that started last at each address. A crashed worker stays published until its entry expires, and
     * the worker that has replaced it at its address would reject every request meant for it. Entries of upstreams that
     * are not configured are ignored, because another program may have written them.
     */
    private Map<String, WorkerState> latestByAddress() {
        Map<String, WorkerState> latest = new HashMap<>();
        for (WorkerState worker : workers) {
            if (upstreamExists.test(worker.entry().upstream())) {
                latest.merge(worker.address(), worker, (first, second) -> first.startedAfter(second) ? first : second);
            }
        }
        return latest;
    }
}
