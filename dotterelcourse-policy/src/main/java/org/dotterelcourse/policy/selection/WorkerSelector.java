package org.dotterelcourse.policy.selection;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a worker for one request.
 *
 * @param <R> what the choice needs to know of the request
 */
public interface WorkerSelector<R> {
    /**
     * Chooses.
     *
     * @param request the request
     * @param workers the workers that it may be sent to
     * @param nowNanos the time on the monotonic clock
     * @return the worker's id; empty if none should get it now
     */
    Optional<String> select(R request, List<WorkerLoad> workers, long nowNanos);
}
