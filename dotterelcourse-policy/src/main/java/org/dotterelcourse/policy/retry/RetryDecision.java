package org.dotterelcourse.policy.retry;

import org.dotterelcourse.policy.cell.CellRequest;

/** What follows a failed attempt. */
public sealed interface RetryDecision {
    /**
     * The request is asked for again from its start.
     *
     * @param request the same request with its arrival, its deadline and the failed worker excluded
     */
    record Restart(CellRequest request) implements RetryDecision {}

    /**
     * The request is asked for again and goes on after the tokens that the caller has.
     *
     * @param request the same request with its arrival, the tokens so far, and the failed worker excluded if it failed
     */
    record Resume(CellRequest request) implements RetryDecision {}

    /**
     * Nothing more is tried.
     *
     * @param outcome what the caller is told
     * @param reason why nothing more is tried, for the log
     */
    record GiveUp(FinalOutcome outcome, Reason reason) implements RetryDecision {}

    /** Why nothing more is tried. */
    enum Reason {
        /** It may have run, and must not run twice. */
        MAY_HAVE_RUN,
        /** Its class has no use for an answer that is late by now. */
        TOO_LATE,
        /** So many workers have failed it that it is likely the cause. */
        FAILED_BY_MANY,
        /** The upstream's budget of retries is spent. */
        BUDGET_SPENT
    }
}
