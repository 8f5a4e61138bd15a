package org.dotterelcourse.policy.budget;

/** Whether a request fits its customer's budget. */
public sealed interface BudgetDecision {
    /**
     * It fits, and its estimate has been taken out.
     *
     * @param tokens the estimate in tokens, to be handed back when it is settled
     */
    record Charged(double tokens) implements BudgetDecision {}

    /**
     * It doesn't fit.
     *
     * @param retryAfterNanos when it would, from now, if nothing else came; {@link Long#MAX_VALUE} for never
     */
    record OverBudget(long retryAfterNanos) implements BudgetDecision {}
}
