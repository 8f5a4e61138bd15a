package org.dotterelcourse.policy.cell;

import java.util.Set;

/**
 * One request that wants a worker of the cell.
 *
 * @param id the request's id, unique among those waiting or running in the cell
 * @param terms what its class was promised
 * @param customer the customer's name
 * @param arrivalNanos when a daemon first took the request; a retry keeps it
 * @param inputTokens the estimated length of the prompt
 * @param prefix fingerprint of the prompt's start, 0 for none
 * @param idempotent whether it may run more than once
 * @param resumedTokens how many tokens of the answer the caller has already, 0 for a fresh request
 * @param excludedWorkers workers that failed this request before
 */
public record CellRequest(
        String id,
        ClassTerms terms,
        String customer,
        long arrivalNanos,
        int inputTokens,
        long prefix,
        boolean idempotent,
        int resumedTokens,
        Set<String> excludedWorkers) {
    /**
     * When the first token, or a plain service's whole answer, is due.
     *
     * @return nanoseconds of the clock that {@link #arrivalNanos} was read from
     */
    public long dueNanos() {
        return arrivalNanos + terms.targetNanos();
    }
}
