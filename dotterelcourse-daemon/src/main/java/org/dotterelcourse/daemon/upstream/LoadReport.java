package org.dotterelcourse.daemon.upstream;

import java.util.SortedSet;

import org.dotterelcourse.coordination.order.Fence;
import org.dotterelcourse.coordination.order.ModelVersion;

/**
 * An engine's own word about its load. It lags behind the truth.
 *
 * @param running requests in its batch
 * @param waiting requests that wait at the engine
 * @param reportedAtMillis when it was true, by the engine's wall clock
 * @param loaded the model versions that it serves
 * @param fence the highest fencing number that it has seen
 * @param role its role
 */
public record LoadReport(
        int running, int waiting, long reportedAtMillis, SortedSet<ModelVersion> loaded, Fence fence, String role) {}
