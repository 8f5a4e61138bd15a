package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Optional;

/**
 * Selects a worker for one request.
 *
 * @param <R> properties of the request that the selection depends on
 */
public interface WorkerSelector<R> {
    /**
     * Selects one of the candidates.
     *
     * @param request properties of the request
     * @param workers candidates for the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return id of the selected worker; empty if no candidate should receive the request now
     */
    Optional<String> select(R request, List<WorkerLoad> workers, long nowNanos);
}
