package org.dotterelcourse.policy.retry;

/** How many retries an upstream may be sent. Not safe for use by several threads at once. */
public interface RetryBudget {
    /** A request was answered. */
    void recordSuccess();

    /**
     * Takes one retry out of the budget.
     *
     * @return whether there was one left
     */
    boolean tryAcquire();
}
