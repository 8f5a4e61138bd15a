package org.dotterelcourse.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.retry.Attempt;
import org.dotterelcourse.policy.retry.ConservativeFailureClassifier;
import org.dotterelcourse.policy.retry.FractionRetryBudget;
import org.dotterelcourse.policy.retry.RetryBudget;
import org.dotterelcourse.policy.retry.RetryDecision;
import org.dotterelcourse.policy.retry.RetryPolicy;
import org.dotterelcourse.policy.retry.SafeRetryPolicy;

/** Applies the retry policy, with one retry budget per upstream. */
public final class Retries {
    private final RetryPolicy policy = new SafeRetryPolicy(new ConservativeFailureClassifier());
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Decides whether and how a failed attempt is retried.
     *
     * @param upstream the name of the upstream
     * @param request the request of the failed attempt
     * @param attempt how the attempt ended
     * @param resumable whether the upstream can resume an answer after a given text
     * @return the decision
     */
    synchronized RetryDecision decide(String upstream, CellRequest request, Attempt attempt, boolean resumable) {
        return policy.decide(request, attempt, resumable, budget(upstream), System.nanoTime());
    }

    /**
     * Records a completely answered request, which refills the retry budget.
     *
     * @param upstream the name of the upstream
     */
    synchronized void succeeded(String upstream) {
        budget(upstream).recordSuccess();
    }

    /** Converts an upstream failure to the form that the retry policy uses. */
    static Attempt attempt(String worker, UpstreamFailure failure, int outputTokens) {
        boolean noOutput = outputTokens == 0;
        return switch (failure.kind()) {
            case UNREACHABLE -> new Attempt(worker, Attempt.End.NO_CONNECTION, false, outputTokens, noOutput);
            case REFUSED -> new Attempt(worker, Attempt.End.REFUSED_BEFORE_START, true, outputTokens, noOutput);
            case LEAVING -> new Attempt(worker, Attempt.End.LEAVING, true, outputTokens, noOutput);
            case BROKEN -> new Attempt(worker, Attempt.End.BROKEN, true, outputTokens, noOutput);
            case SILENT -> new Attempt(worker, Attempt.End.TIMED_OUT, true, outputTokens, noOutput);
            case PREEMPTED -> new Attempt(worker, Attempt.End.PREEMPTED, true, outputTokens, noOutput);
        };
    }

    private RetryBudget budget(String upstream) {
        return budgets.computeIfAbsent(
                upstream,
                name -> new FractionRetryBudget(
                        FractionRetryBudget.DEFAULT_FRACTION, FractionRetryBudget.DEFAULT_RESERVE));
    }
}
