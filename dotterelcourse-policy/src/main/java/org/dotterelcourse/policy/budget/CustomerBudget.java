package org.dotterelcourse.policy.budget;

/** The budget of one customer. Not safe for use by several threads at once. */
public interface CustomerBudget {
    /**
     * A request wants in.
     *
     * @param estimatedTokens the tokens of its prompt and, as expected, of its answer
     * @param nowNanos the time
     * @return whether it fits
     */
    BudgetDecision charge(double estimatedTokens, long nowNanos);

    /**
     * A charged request has ended.
     *
     * @param charged what it was charged, in tokens
     * @param actualTokens what it has used; 0 if it was not run
     * @param nowNanos the time
     */
    void settle(BudgetDecision.Charged charged, double actualTokens, long nowNanos);

    /**
     * New terms are in force. What is left of the old burst is kept, up to the new one.
     *
     * @param terms the terms
     * @param nowNanos the time
     */
    void terms(BudgetTerms terms, long nowNanos);
}
