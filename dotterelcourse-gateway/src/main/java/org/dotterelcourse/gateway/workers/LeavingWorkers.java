package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * The workers that have stated in a response that they are leaving, by incarnation. A worker does not withdraw this, so
 * it applies until the incarnation has ended. It is kept while the worker is not published, because an entry that has
 * expired during an outage of the platform's store is published again.
 */
public final class LeavingWorkers {
    /** Longer than any outage of the store after which an entry is published again, and any shutdown of a worker. */
    private static final long RETENTION_NANOS = 3_600L * 1_000_000_000L;

    private final Map<Integer, Long> statedNanos = new HashMap<>();
    private final IntPredicate isPublished;
    private int additions;

    /**
     * Creates an empty set.
     *
     * @param isPublished whether the worker with an incarnation is published; if so, it is not forgotten
     */
    LeavingWorkers(IntPredicate isPublished) {
        this.isPublished = isPublished;
    }

    /**
     * Records that a worker has stated that it is leaving.
     *
     * @param worker the worker's incarnation
     * @param nowNanos current monotonic time in nanoseconds
     * @return whether this was not known
     */
    public boolean add(int worker, long nowNanos) {
        boolean added = statedNanos.put(worker, nowNanos) == null;
        if (added) {
            additions++;
            statedNanos
                    .entrySet()
                    .removeIf(stated ->
                            nowNanos - stated.getValue() > RETENTION_NANOS && !isPublished.test(stated.getKey()));
        }
        return added;
    }

    /**
     * Returns whether a worker has stated that it is leaving.
     *
     * @param worker the worker's incarnation
     * @return true while it is published, and for at least an hour after its last statement
     */
    public boolean contains(int worker) {
        return statedNanos.containsKey(worker);
    }

    /** Returns how many workers have been added so far, by which a change can be recognized. */
    int additions() {
        return additions;
    }
}
