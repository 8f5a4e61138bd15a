package org.dotterelcourse.policy.retry;

import java.util.HashSet;
import java.util.Set;

import org.dotterelcourse.policy.cell.CellRequest;

/**
 * Retries a request within the retry budget, but never if a non-idempotent request might be executed twice, and never
 * after the deadline of a class whose late answers are useless.
 *
 * <p>Retries of preempted requests and of requests whose grant was never used don't consume the budget, because they
 * add only load that the scheduler itself decided on. A worker that rejected a request because it was full isn't
 * excluded: it may have free slots again later, and the scheduler itself avoids it for a while.
 */
public final class SafeRetryPolicy implements RetryPolicy {
    /**
     * Maximum number of workers that may fail a request: one that fails on more probably causes the failures itself.
     */
    private static final int MAX_EXCLUDED_WORKERS = 3;

    private final FailureClassifier classifier;

    /**
     * Creates a policy.
     *
     * @param classifier determines whether a failed attempt may have executed the request
     */
    public SafeRetryPolicy(FailureClassifier classifier) {
        this.classifier = classifier;
    }

    @Override
    public RetryDecision decide(
            CellRequest request, Attempt attempt, boolean resumable, RetryBudget budget, long nowNanos) {
        Failure failure = classifier.classify(attempt);
        if (!mayRunAgain(request, failure, resumable)) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.MAY_HAVE_RUN);
        }
        if (isTooLate(request, failure, nowNanos)) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.TOO_LATE);
        }
        if (excluded(request, attempt).size() > MAX_EXCLUDED_WORKERS) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.FAILED_BY_MANY);
        }
        if (!isEndedByScheduler(attempt) && !isFirstResumption(request, failure) && !budget.tryAcquire()) {
            return new RetryDecision.GiveUp(outcome(failure), RetryDecision.Reason.BUDGET_SPENT);
        }
        CellRequest next = next(request, attempt, failure);
        boolean resumes = failure instanceof Failure.PartiallyAnswered;
        return resumes ? new RetryDecision.Resume(next) : new RetryDecision.Restart(next);
    }

    private static boolean mayRunAgain(CellRequest request, Failure failure, boolean resumable) {
        if (failure instanceof Failure.NotRun) {
            return true;
        }
        boolean hasPartialAnswer = failure instanceof Failure.PartiallyAnswered;
        return request.idempotent() && (!hasPartialAnswer || resumable);
    }

    private static boolean isTooLate(CellRequest request, Failure failure, long nowNanos) {
        boolean hasPartialAnswer = failure instanceof Failure.PartiallyAnswered;
        return !hasPartialAnswer && request.terms().lateIsUseless() && nowNanos >= request.dueNanos();
    }

    private static boolean isEndedByScheduler(Attempt attempt) {
        return attempt.end() == Attempt.End.PREEMPTED || attempt.end() == Attempt.End.NEVER_SENT;
    }

    /**
     * Whether this would be the first resumption of the request. It doesn't consume the budget: when a middlebox cuts
     * all connections to an engine, more answers are interrupted at once than the budget of an upstream with little
     * traffic covers, and an unknown outcome would be reported to their callers, although a resumption repeats only the
     * prefill. Limited to once per request, it can at most double the prefill load.
     */
    private static boolean isFirstResumption(CellRequest request, Failure failure) {
        return failure instanceof Failure.PartiallyAnswered
                && request.excludedWorkers().isEmpty();
    }

    private static CellRequest next(CellRequest request, Attempt attempt, Failure failure) {
        int resumed = failure instanceof Failure.PartiallyAnswered part ? part.tokens() : request.resumedTokens();
        return new CellRequest(
                request.id(),
                request.terms(),
                request.customer(),
                request.arrivalNanos(),
                request.inputTokens(),
                request.prefix(),
                request.idempotent(),
                resumed,
                excluded(request, attempt));
    }

    private static Set<String> excluded(CellRequest request, Attempt attempt) {
        boolean isFull = attempt.end() == Attempt.End.REFUSED_BEFORE_START;
        if (isEndedByScheduler(attempt) || isFull) {
            return request.excludedWorkers();
        }
        Set<String> excluded = new HashSet<>(request.excludedWorkers());
        excluded.add(attempt.worker());
        return Set.copyOf(excluded);
    }

    private static FinalOutcome outcome(Failure failure) {
        if (failure instanceof Failure.NotRun) {
            return new FinalOutcome.NotRun();
        }
        if (failure instanceof Failure.PartiallyAnswered part) {
            return new FinalOutcome.Truncated(part.tokens());
        }
        return new FinalOutcome.Unknown();
    }
}
