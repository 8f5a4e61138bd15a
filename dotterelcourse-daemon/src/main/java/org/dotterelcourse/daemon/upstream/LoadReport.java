package org.dotterelcourse.daemon.upstream;

import java.util.SortedSet;

import org.dotterelcourse.coordination.order.Fence;
import org.dotterelcourse.coordination.order.ModelVersion;

/**
 * The load that an engine reports about itself. It is a snapshot and may be outdated when it is read.
 *
 * @param running the number of requests in the engine's current batch
 * @param waiting the number of requests queued at the engine
 * @param reportedAtMillis the time of the snapshot in milliseconds since the epoch, by the engine's wall clock; 0 if
 *     not reported
 * @param loaded the model versions that the engine has loaded
 * @param fence the highest fencing number that the engine has seen in an order
 * @param role the engine's current role; empty if not reported
 */
public record LoadReport(
        int running, int waiting, long reportedAtMillis, SortedSet<ModelVersion> loaded, Fence fence, String role) {}
