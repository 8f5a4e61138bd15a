package org.dotterelcourse.policy.retry;

/** Tells what a failed attempt means. */
public interface FailureClassifier {
    /**
     * Classifies a failed attempt.
     *
     * @param attempt the attempt
     * @return what it means
     */
    Failure classify(Attempt attempt);
}
