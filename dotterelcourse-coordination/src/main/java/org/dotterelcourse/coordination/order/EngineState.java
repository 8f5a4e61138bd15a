package org.dotterelcourse.coordination.order;

import java.util.SortedSet;

/**
 * What a worker's engine reports of itself.
 *
 * @param worker the worker's name
 * @param fence the highest fencing number that it has seen
 * @param loaded the versions that it serves
 * @param role its role
 * @param measuredNanos when this was true, on the clock of the one who read it, or earlier
 */
public record EngineState(String worker, Fence fence, SortedSet<ModelVersion> loaded, String role, long measuredNanos) {
    boolean serves(String model) {
        return loaded.stream().anyMatch(version -> version.model().equals(model));
    }
}
