package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the worker with the fewest requests in flight per effective slot (least loaded), for services other than engines. Workers
 * in the same data centre are preferred while they have a free slot.
 *
 * <p>It handles bursts of short calls: a worker runs a few calls at once and queues the rest, so that one call above its
 * slots waits until another call has ended. Without this selector, calls queue at some workers while others have free
 * slots. The slots of a worker count by its estimated speed, since a slow worker ends fewer calls in the same time. Ties
 * are broken at random, because peers that see the same load would otherwise all select the same worker.
 */
public final class LeastLoadedSelector implements WorkerSelector<String> {
    /**
     * Requests per slot from which on a worker is not selected. Workers queue a few times their slots and reject the rest;
     * a call that waits for three times the slots takes longer than the latency targets of plain services (5 to 6 times
     * the work of one call) allow.
     */
    static final double MAX_REQUESTS_PER_SLOT = 4;

    /** A call to another data centre takes about 1 ms longer, a small part of the 20 ms of work of a call. */
    private static final double REMOTE_PENALTY = 0.15;

    /**
     * Cost of a call on a free slot of a worker that takes twice as long, relative to a full worker: on a full one, a call
     * waits for about as long as it takes, but only if all slots stay taken.
     */
    private static final double SLOWNESS_PENALTY = 0.5;

    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param random source of randomness for breaking ties
     */
    public LeastLoadedSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Selects the least loaded candidate. Suspected workers are selected only if no others can receive a request.
     *
     * @param dataCentre data centre of the process that sends the request
     * @param workers candidates for the request
     * @param nowNanos not used
     * @return id of the selected worker; empty if each candidate is at its limit or denied to this process
     */
    @Override
    public Optional<String> select(String dataCentre, List<WorkerLoad> workers, long nowNanos) {
        boolean anyHealthy = workers.stream().anyMatch(each -> each.canReceive() && !each.suspected());
        String best = null;
        double minCost = Double.MAX_VALUE;
        for (WorkerLoad worker : workers) {
            if (!worker.canReceive() || anyHealthy && worker.suspected()) {
                continue;
            }
            double slowness = worker.performance().slowness();
            double load = worker.inFlight() / (double) Math.max(1, worker.slots());
            // Workers reject above a number of requests that does not depend on their speed.
            if (load * Math.max(1, slowness) >= MAX_REQUESTS_PER_SLOT) {
                continue;
            }
            boolean local = worker.dataCentre().equals(dataCentre);
            double cost = Math.max(load * slowness, 0)
                    + SLOWNESS_PENALTY * (slowness - 1)
                    + (local ? 0 : REMOTE_PENALTY)
                    + random.nextDouble() * REMOTE_PENALTY / 2;
            if (cost < minCost) {
                minCost = cost;
                best = worker.id();
            }
        }
        return Optional.ofNullable(best);
    }
}
