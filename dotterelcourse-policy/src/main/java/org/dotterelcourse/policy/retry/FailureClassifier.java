package org.dotterelcourse.policy.retry;

/** Determines whether a request may have been executed by a failed attempt. */
public interface FailureClassifier {
    /**
     * Classifies a failed attempt.
     *
     * @param attempt the attempt
     * @return its effect
     */
    Failure classify(Attempt attempt);
}
