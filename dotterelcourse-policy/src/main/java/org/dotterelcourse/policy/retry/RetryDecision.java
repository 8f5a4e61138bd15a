package org.dotterelcourse.policy.retry;

import org.dotterelcourse.policy.cell.CellRequest;

/** The decision of a {@link RetryPolicy} about a failed attempt. */
public sealed interface RetryDecision {
    /**
     * The request is submitted to the scheduler again and runs from its start.
     *
     * @param request the same request, with its original arrival time and deadline; the failed worker is excluded
     *     unless it was only full or the scheduler ended the attempt
     */
    record Restart(CellRequest request) implements RetryDecision {}

    /**
     * The request is submitted to the scheduler again and continues after the tokens that the caller has received.
     *
     * @param request the same request, with its original arrival time and the number of tokens received so far; the
     *     worker is excluded if it failed
     */
    record Resume(CellRequest request) implements RetryDecision {}

    /**
     * The request is not retried.
     *
     * @param outcome the outcome to report to the caller
     * @param reason why it is not retried, for the log
     */
    record GiveUp(FinalOutcome outcome, Reason reason) implements RetryDecision {}

    /** Why a request is not retried. */
    enum Reason {
        /** The request may have been executed, and must not be executed twice. */
        MAY_HAVE_RUN,
        /** The deadline has passed, and late answers are useless to the class. */
        TOO_LATE,
        /** So many workers have failed the request that it probably causes the failures itself. */
        FAILED_BY_MANY,
        /** The retry budget of the upstream is exhausted. */
        BUDGET_SPENT
    }
}
