package org.dotterelcourse.coordination.order;

import java.util.SortedSet;

/**
 * The state that the engine of a worker reports.
 *
 * @param worker the worker's name
 * @param fence the highest fencing token that the engine has received
 * @param loaded the model versions that the engine serves
 * @param role the engine's role, empty if roles aren't used
 * @param measuredNanos lower bound of the time of the measurement: monotonic time in nanoseconds of the process that
 *     read the state
 */
public record EngineState(String worker, Fence fence, SortedSet<ModelVersion> loaded, String role, long measuredNanos) {
    boolean serves(String model) {
        return loaded.stream().anyMatch(version -> version.model().equals(model));
    }
}
