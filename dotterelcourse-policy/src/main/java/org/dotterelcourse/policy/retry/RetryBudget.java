package org.dotterelcourse.policy.retry;

/** Limits the number of retries sent to an upstream. Not safe for use by several threads at once. */
public interface RetryBudget {
    /** Records that a request was answered. */
    void recordSuccess();

    /**
     * Takes one retry from the budget if one is available.
     *
     * @return whether the retry may be made
     */
    boolean tryAcquire();
}
