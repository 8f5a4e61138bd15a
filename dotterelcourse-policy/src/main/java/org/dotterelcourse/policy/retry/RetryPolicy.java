package org.dotterelcourse.policy.retry;

import org.dotterelcourse.policy.cell.CellRequest;

/** Decides whether and how a request is retried after a failed attempt. */
public interface RetryPolicy {
    /**
     * Decides about one failed attempt, and takes a retry from the budget if the decision uses one.
     *
     * @param request the request as it was granted
     * @param attempt the failed attempt
     * @param resumable whether the upstream can continue an answer after given tokens
     * @param budget the retry budget of the upstream
     * @param nowNanos current monotonic time in nanoseconds, of the clock that the request's arrival was read from
     * @return the decision
     */
    RetryDecision decide(CellRequest request, Attempt attempt, boolean resumable, RetryBudget budget, long nowNanos);
}
