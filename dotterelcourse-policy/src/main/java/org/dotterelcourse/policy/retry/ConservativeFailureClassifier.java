package org.dotterelcourse.policy.retry;

/**
 * Classifies an attempt as not run only if that is certain: nothing was sent, or the worker itself reported that it
 * rejected the request before executing it. Otherwise a payment whose connection was lost after it had been sent would
 * be reported as not run, retried, and executed twice.
 */
public final class ConservativeFailureClassifier implements FailureClassifier {
    @Override
    public Failure classify(Attempt attempt) {
        if (!attempt.nothingReceived()) {
            return new Failure.PartiallyAnswered(attempt.tokensReceived());
        }
        return switch (attempt.end()) {
            case REFUSED_BEFORE_START, LEAVING -> new Failure.NotRun();
            case NO_CONNECTION, BROKEN, TIMED_OUT, NEVER_SENT, PREEMPTED, ERROR ->
                attempt.bytesWritten() ? new Failure.MayHaveRun() : new Failure.NotRun();
        };
    }
}
