package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.dotterelcourse.coordination.ownership.Rendezvous;

/**
 * Which processes may use a worker that bears few requests: by rendezvous hashing of the worker's name over the members of the fleet, so
 * that all agree without asking each other.
 */
final class ShareHolders {
    /**
     * A fleet that has grown by this factor is one that this process is only getting to know. After a loss of all, each
     * process would else begin as the only one it knows, and use every such worker.
     */
    private static final double GROWN = 1.25;

    /** How long a process that gets to know the fleet uses no such worker: it meets most others within a second. */
    private static final long SETTLING_NANOS = 2_000_000_000L;

    private final Map<String, Integer> ranks = new HashMap<>();
    private List<String> others = List.of();
    private String self = "";
    private int settledSize;
    private long settledNanos;
    private boolean met;

    /**
     * The members of the fleet are known.
     *
     * @param ownName this process's name
     * @param otherNames the others' that are not known to be dead
     * @param nowNanos the time
     */
    void fleet(String ownName, List<String> otherNames, long nowNanos) {
        self = ownName;
        others = List.copyOf(otherNames);
        ranks.clear();
        if (!met || processes() > GROWN * settledSize) {
            met = true;
            settledNanos = nowNanos + SETTLING_NANOS;
            settledSize = processes();
        }
        settledSize = Math.min(settledSize, processes());
    }

    /** How many processes the fleet has, this one included. */
    int processes() {
        return others.size() + 1;
    }

    /** Whether this process is one of the first in a worker's order of processes. */
    boolean holds(String worker, int holders, long nowNanos) {
        return met && nowNanos - settledNanos >= 0 && ranks.computeIfAbsent(worker, this::rank) < holders;
    }

    private int rank(String worker) {
        long own = Rendezvous.weight(worker, self);
        return (int) others.stream()
                .filter(other -> Long.compareUnsigned(Rendezvous.weight(worker, other), own) > 0)
                .count();
    }
}
