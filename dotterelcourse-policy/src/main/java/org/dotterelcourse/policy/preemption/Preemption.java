package org.dotterelcourse.policy.preemption;

import java.util.Collection;
import java.util.Optional;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.placement.RunningRequest;

/** Chooses a running request to preempt for a queued one. */
public interface Preemption {
    /**
     * Chooses the request to preempt.
     *
     * @param urgent the queued request that would miss its target
     * @param running all running requests of the cell
     * @return the request to preempt, or empty if none may be preempted or the cost would exceed the gain
     */
    Optional<RunningRequest> selectVictim(CellRequest urgent, Collection<RunningRequest> running);
}
