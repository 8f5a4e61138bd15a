package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * The workers that have stated in a response that they are leaving, by incarnation. A worker does not withdraw this, so
 * it applies until the incarnation has ended. It is kept while the worker is not published, because an entry that has
 * expired during an outage of the platform's store is published again.
 */
public final class LeavingWorkers {
    /** Longer than any outage of the store after which an entry is published again, and any shutdown of a worker. */
    private static final long RETENTION_NANOS = 3_600L * 1_000_000_000L;

    private final Map<Integer, Long> statedNanos = new HashMap<>();

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
            statedNanos.values().removeIf(stated -> nowNanos - stated > RETENTION_NANOS);
        }
        return added;
    }

    /**
     * Returns whether a worker has stated that it is leaving.
     *
     * @param worker the worker's incarnation
     * @return true until an hour after its last statement
     */
    public boolean contains(int worker) {
        return statedNanos.containsKey(worker);
    }
}
