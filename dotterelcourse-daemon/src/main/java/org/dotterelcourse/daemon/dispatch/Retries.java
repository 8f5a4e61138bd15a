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

/** Asks the retry policy, with one budget for each upstream. */
public final class Retries {
    private final RetryPolicy policy = new SafeRetryPolicy(new ConservativeFailureClassifier());
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Decides what follows a failed attempt.
     *
     * @param upstream the upstream's name
     * @param ask the request as it was granted
     * @param attempt how the attempt ended
     * @param resumable whether the upstream can go on after given tokens
     * @return what follows
     */
    synchronized RetryDecision decide(String upstream, CellRequest ask, Attempt attempt, boolean resumable) {
        return policy.decide(ask, attempt, resumable, budget(upstream), System.nanoTime());
    }

    /**
     * A request was answered.
     *
     * @param upstream the upstream's name
     */
    synchronized void succeeded(String upstream) {
        budget(upstream).recordSuccess();
    }

    /** What the policy is told of a failure. */
    static Attempt attempt(String worker, UpstreamFailure failure, int tokensSeen) {
        boolean nothingSeen = tokensSeen == 0;
        return switch (failure.kind()) {
            case UNREACHABLE -> new Attempt(worker, Attempt.End.NO_CONNECTION, false, tokensSeen, nothingSeen);
            case REFUSED -> new Attempt(worker, Attempt.End.REFUSED_BEFORE_START, true, tokensSeen, nothingSeen);
            case LEAVING -> new Attempt(worker, Attempt.End.LEAVING, true, tokensSeen, nothingSeen);
            case BROKEN -> new Attempt(worker, Attempt.End.BROKEN, true, tokensSeen, nothingSeen);
            case SILENT -> new Attempt(worker, Attempt.End.TIMED_OUT, true, tokensSeen, nothingSeen);
            case PREEMPTED -> new Attempt(worker, Attempt.End.PREEMPTED, true, tokensSeen, nothingSeen);
        };
    }

    private RetryBudget budget(String upstream) {
        return budgets.computeIfAbsent(
                upstream,
                name -> new FractionRetryBudget(
                        FractionRetryBudget.DEFAULT_FRACTION, FractionRetryBudget.DEFAULT_RESERVE));
    }
}
