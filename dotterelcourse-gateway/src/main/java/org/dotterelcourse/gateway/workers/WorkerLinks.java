package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** What a process without links to the workers needs to know of all of them. Used on the gateway's event loop only. */
public final class WorkerLinks {
    /** Decayed successes at a worker that show that peers reach it now; a single success counts for some seconds. */
    private static final double MIN_PEER_SUCCESSES = 0.5;

    private final Workers workers;
    private final RandomGenerator random;

    /**
     * Creates a view of the workers.
     *
     * @param workers the workers of all upstreams
     * @param random source of the random choices
     */
    public WorkerLinks(Workers workers, RandomGenerator random) {
        this.workers = workers;
        this.random = random;
    }

    /**
     * Returns the number of published workers.
     *
     * @return the number of workers of all upstreams
     */
    public int published() {
        return workers.all().size();
    }

    /**
     * Returns the number of requests that all published workers can run concurrently.
     *
     * @param workers the workers of all upstreams
     * @return the sum of the workers' slots
     */
    public static int slots(Workers workers) {
        return workers.all().stream().mapToInt(worker -> worker.entry().slots()).sum();
    }

    /**
     * Returns the published workers of an upstream, those that are leaving included.
     *
     * @param upstream name of the upstream
     * @return their entries
     */
    public List<WorkerEntry> published(String upstream) {
        return workers.all().stream()
                .map(WorkerState::entry)
                .filter(entry -> entry.upstream().equals(upstream))
                .toList();
    }

    /**
     * Finds the published worker that listens at an address.
     *
     * @param address IP address and port, separated by a colon
     * @return its entry, the one that started last if there are several; empty if there is none
     */
    public Optional<WorkerEntry> findByAddress(String address) {
        return workers.all().stream()
                .map(WorkerState::entry)
                .filter(entry -> entry.address().equals(address))
                .max(Comparator.comparingLong(WorkerEntry::startMillis));
    }

    /**
     * Selects workers to probe, of different upstreams and data centres by chance.
     *
     * @param count largest number of workers
     * @param isEligible whether the worker with an incarnation may be probed
     * @return entries of different workers in random order
     */
    public List<WorkerEntry> sample(int count, IntPredicate isEligible) {
        List<WorkerEntry> entries = new ArrayList<>();
        for (WorkerState worker : workers.all()) {
            if (!workers.isLeaving(worker.entry()) && isEligible.test(worker.incarnation())) {
                entries.add(worker.entry());
            }
        }
        Collections.shuffle(entries, new Random(random.nextLong()));
        return entries.subList(0, Math.min(count, entries.size()));
    }

    /**
     * Returns the number of requests in flight from this process.
     *
     * @return requests at all workers that are not fully answered
     */
    public int inFlight() {
        return workers.all().stream().mapToInt(WorkerState::localInFlight).sum();
    }

    /**
     * Returns whether peers have lately been served by workers of an upstream.
     *
     * @param upstream name of the upstream
     * @return true if peers have reported a recent success
     */
    public boolean isReachedByPeers(String upstream) {
        return workers.all().stream()
                .anyMatch(worker ->
                        worker.entry().upstream().equals(upstream) && worker.peerSuccesses() >= MIN_PEER_SUCCESSES);
    }

    /**
     * Returns the workers of an upstream that a peer must not use for a request, as far as this process knows: those that are
     * leaving, and those that can't serve it.
     *
     * @param upstream name of the upstream
     * @param accepted whether the worker with an entry can serve the request
     * @return ids of the workers
     */
    public List<String> excluded(String upstream, Predicate<WorkerEntry> accepted) {
        return workers.all().stream()
                .map(WorkerState::entry)
                .filter(entry -> entry.upstream().equals(upstream))
                .filter(entry -> workers.isLeaving(entry) || !accepted.test(entry))
                .map(WorkerEntry::id)
                .toList();
    }

    /** Forgets all failures of this process, because they were failures of its links and not of the workers. */
    public void forgetFailures() {
        workers.all().forEach(WorkerState::forgetFailures);
    }
}
