package org.dotterelcourse.policy.retry;

import java.util.HashSet;
import java.util.Set;

import org.dotterelcourse.policy.cell.CellRequest;

/**
 * Retries what can't run twice by it, within the budget, and never after the deadline of a class for which late is
 * useless.
 *
 * <p>A preempted request and one whose grant was never used are asked for again without the budget: they add no load that
 * the scheduler hasn't chosen. A worker that was only full stays allowed after some time, and so isn't excluded; the
 * scheduler itself leaves it alone for a while.
 */
public final class SafeRetryPolicy implements RetryPolicy {
    /** Workers that may fail one request: what kills three is likely to be the request itself. */
    private static final int MOST_EXCLUDED = 3;

    private final FailureClassifier classifier;

    /**
     * Makes a policy.
     *
     * @param classifier tells what failures mean
     */
    public SafeRetryPolicy(FailureClassifier classifier) {
        this.classifier = classifier;
    }

    @Override
    public RetryDecision decide(
            CellRequest ask, Attempt attempt, boolean resumable, RetryBudget budget, long nowNanos) {
        Failure failure = classifier.classify(attempt);
        if (!mayRunAgain(ask, failure, resumable)) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.MAY_HAVE_RUN);
        }
        if (isTooLate(ask, failure, nowNanos)) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.TOO_LATE);
        }
        if (excluded(ask, attempt).size() > MOST_EXCLUDED) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.FAILED_BY_MANY);
        }
        if (!isOurs(attempt) && !isFirstResumption(ask, failure) && !budget.tryAcquire()) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.BUDGET_SPENT);
        }
        CellRequest next = next(ask, attempt, failure);
        boolean resumes = failure instanceof Failure.AnsweredInPart;
        return resumes ? new RetryDecision.Resume(next) : new RetryDecision.Restart(next);
    }

    private static boolean mayRunAgain(CellRequest ask, Failure failure, boolean resumable) {
        if (failure instanceof Failure.NotRun) {
            return true;
        }
        boolean isPart = failure instanceof Failure.AnsweredInPart;
        return ask.idempotent() && (!isPart || resumable);
    }

    private static boolean isTooLate(CellRequest ask, Failure failure, long nowNanos) {
        boolean hasBegun = failure instanceof Failure.AnsweredInPart;
        return !hasBegun && ask.terms().lateIsUseless() && nowNanos >= ask.dueNanos();
    }

    private static boolean isOurs(Attempt attempt) {
        return attempt.end() == Attempt.End.PREEMPTED || attempt.end() == Attempt.End.NEVER_SENT;
    }

    /**
     * The first time that an answer breaks off it goes on without the budget. A middlebox that cuts all connections to an
     * engine breaks more answers at once than a quiet upstream's budget covers, and their callers would be told that the
     * outcome is unknown, though all that is repeated is the reading of the prompt. Once a request, it can at most double
     * that part of the load.
     */
    private static boolean isFirstResumption(CellRequest ask, Failure failure) {
        return failure instanceof Failure.AnsweredInPart
                && ask.excludedWorkers().isEmpty();
    }

    private static CellRequest next(CellRequest ask, Attempt attempt, Failure failure) {
        int resumed = failure instanceof Failure.AnsweredInPart part ? part.tokens() : ask.resumedTokens();
        return new CellRequest(
                ask.id(),
                ask.terms(),
                ask.customer(),
                ask.arrivalNanos(),
                ask.inputTokens(),
                ask.prefix(),
                ask.idempotent(),
                resumed,
                excluded(ask, attempt));
    }

    private static Set<String> excluded(CellRequest ask, Attempt attempt) {
        boolean isFull = attempt.end() == Attempt.End.REFUSED_BEFORE_START;
        if (isOurs(attempt) || isFull) {
            return ask.excludedWorkers();
        }
        Set<String> excluded = new HashSet<>(ask.excludedWorkers());
        excluded.add(attempt.worker());
        return Set.copyOf(excluded);
    }

    private static FinalOutcome outcome(Failure failure) {
        if (failure instanceof Failure.NotRun) {
            return new FinalOutcome.NotRun();
        }
        if (failure instanceof Failure.AnsweredInPart part) {
            return new FinalOutcome.CutShort(part.tokens());
        }
        return new FinalOutcome.Unknown();
    }
}
