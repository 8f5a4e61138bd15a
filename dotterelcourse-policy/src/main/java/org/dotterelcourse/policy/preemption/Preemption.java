package org.dotterelcourse.policy.preemption;

import java.util.Collection;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.placement.Running;

/** Chooses a running request to stop for a waiting one. */
public interface Preemption {
    /**
     * Chooses a victim.
     *
     * @param urgent the waiting request that would miss its target
     * @param running all running requests
     * @return the one that makes way, or empty if none may or none is worth it
     */
    Optional<Running> victim(CellRequest urgent, Collection<Running> running);
}
