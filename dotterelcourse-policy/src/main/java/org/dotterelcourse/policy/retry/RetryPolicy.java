package org.dotterelcourse.policy.retry;

import org.dotterelcourse.policy.cell.CellRequest;

/** Decides what follows a failed attempt. */
public interface RetryPolicy {
    /**
     * Decides, and takes from the budget what it uses.
     *
     * @param ask the request as it was granted
     * @param attempt how the attempt ended
     * @param resumable whether the upstream can go on after given tokens
     * @param budget the upstream's budget
     * @param nowNanos the time, of the clock that the ask's arrival was read from
     * @return what follows
     */
    RetryDecision decide(CellRequest ask, Attempt attempt, boolean resumable, RetryBudget budget, long nowNanos);
}
