package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses among workers of a plain service by the fewest requests in flight per slot, those in the same data centre
 * first while they have a free slot.
 *
 * <p>It answers bursts of short calls: a worker runs a handful at once and queues the rest, so that one call too many
 * there waits for a whole other call. Without it, some workers queue while others have free slots. Ties are broken at
 * random, because peers that choose by the same figures would otherwise all choose the same worker.
 */
public final class LeastLoadedSelector implements WorkerSelector<String> {
    /**
     * Requests per slot above which a worker is left alone. Workers queue a few times their slots and refuse the rest;
     * what waits behind three times the slots takes longer than the latency targets of plain services (5 to 6 times
     * the work of one call) allow.
     */
    static final double FULL = 4;

    /** A call to another data centre takes about a millisecond longer, a small part of a call's work of 20 ms. */
    private static final double FAR = 0.15;

    private final RandomGenerator random;

    /**
     * Makes a selector.
     *
     * @param random breaks ties
     */
    public LeastLoadedSelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses.
     *
     * @param dataCentre the data centre of the process that sends the request
     * @param workers the workers that it may be sent to
     * @param nowNanos not used
     * @return the worker's id; empty if all of them are full or closed
     */
    @Override
    public Optional<String> select(String dataCentre, List<WorkerLoad> workers, long nowNanos) {
        boolean anySound = workers.stream().anyMatch(each -> each.canReceive() && !each.suspected());
        String best = null;
        double least = Double.MAX_VALUE;
        for (WorkerLoad worker : workers) {
            if (!worker.canReceive() || anySound && worker.suspected()) {
                continue;
            }
            double load = worker.inFlight() / (double) Math.max(1, worker.slots());
            if (load >= FULL) {
                continue;
            }
            boolean near = worker.dataCentre().equals(dataCentre);
            double cost = Math.max(load, 0) + (near ? 0 : FAR) + random.nextDouble() * FAR / 2;
            if (cost < least) {
                least = cost;
                best = worker.id();
            }
        }
        return Optional.ofNullable(best);
    }
}
