package org.dotterelcourse.policy.retry;

/**
 * Says "not run" only on evidence: nothing was sent, or the worker itself refused before it started. Without this line, a
 * payout whose connection broke after it was sent would be told not run, asked for again, and paid twice.
 */
public final class ConservativeFailureClassifier implements FailureClassifier {
    @Override
    public Failure classify(Attempt attempt) {
        if (!attempt.nothingSeen()) {
            return new Failure.AnsweredInPart(attempt.tokensSeen());
        }
        return switch (attempt.end()) {
            case REFUSED_BEFORE_START, LEAVING -> new Failure.NotRun();
            case NO_CONNECTION, BROKEN, TIMED_OUT, NEVER_SENT, PREEMPTED, ERROR ->
                attempt.bytesWritten() ? new Failure.MayHaveRun() : new Failure.NotRun();
        };
    }
}
