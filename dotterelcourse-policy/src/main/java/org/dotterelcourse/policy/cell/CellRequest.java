package org.dotterelcourse.policy.cell;

import java.util.Set;

/**
 * A request for a worker of the cell.
 *
 * @param id id of the request, unique among those that are queued or running in the cell
 * @param terms the service-level terms of the request's class
 * @param customer name of the customer that the request is accounted to
 * @param arrivalNanos monotonic time in nanoseconds at which a daemon received the request; a retry keeps it
 * @param inputTokens estimated length of the prompt, in tokens
 * @param prefix fingerprint of the beginning of the prompt, for prefix affinity; 0 for none
 * @param idempotent whether the request may be executed more than once
 * @param resumedTokens number of tokens of the answer that the caller has received already; 0 for a fresh request
 * @param excludedWorkers names of the workers that have failed this request; it isn't placed there again
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
     * The time at which the first token is due, or the whole answer of a plain service.
     *
     * @return monotonic time in nanoseconds, of the clock that {@link #arrivalNanos} was read from
     */
    public long dueNanos() {
        return arrivalNanos + terms.targetNanos();
    }
}
