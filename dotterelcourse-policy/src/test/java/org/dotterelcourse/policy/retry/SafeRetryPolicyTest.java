package org.dotterelcourse.policy.retry;

import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SafeRetryPolicyTest {
    private static final ClassTerms PAYOUT = new ClassTerms("payout", 1, 0, 10, false, 1_000, 100, 100);

    private final RetryPolicy policy = new SafeRetryPolicy(new ConservativeFailureClassifier());
    private final RetryBudget budget = new FractionRetryBudget(0.1, 2);

    @Property(seed = "41", tries = 200)
    void neverRetriesANonIdempotentRequestThatMayHaveBeenExecuted(
            @ForAll Attempt.End end, @ForAll boolean resumable, @ForAll @IntRange(max = 50) int tokens) {
        // The connection is lost after a payment was sent. It is unknown whether the payment was executed; a retry
        // could execute it twice. Only a report by the worker that it has not started proves that it was not
        // executed.
        Attempt attempt = new Attempt("llm-1", end, true, tokens, tokens == 0);
        boolean workerReportsNotStarted =
                tokens == 0 && (end == Attempt.End.REFUSED_BEFORE_START || end == Attempt.End.LEAVING);

        RetryDecision decision = policy.decide(request(false, 0), attempt, resumable, budget, 5);

        assertThat(decision instanceof RetryDecision.GiveUp).isEqualTo(!workerReportsNotStarted);
        if (decision instanceof RetryDecision.GiveUp giveUp) {
            assertThat(giveUp.outcome()).isNotInstanceOf(FinalOutcome.NotRun.class);
        }
    }

    @Test
    void restartsWithTheOriginalArrivalTimeAndExcludesTheFailedWorker() {
        Attempt refused = new Attempt("llm-1", Attempt.End.NO_CONNECTION, false, 0, true);

        RetryDecision decision = policy.decide(request(false, 0), refused, true, budget, 5);

        assertThat(decision).isInstanceOfSatisfying(RetryDecision.Restart.class, restart -> {
            assertThat(restart.request().arrivalNanos()).isEqualTo(7);
            assertThat(restart.request().dueNanos()).isEqualTo(1_007);
            assertThat(restart.request().excludedWorkers()).containsExactly("llm-1");
        });
    }

    @Test
    void resumesAnAnswerThatWasInterruptedByACrash() {
        // A worker crashes during an answer of which the caller has received 40 tokens. If the answer were generated
        // from its start, these tokens would be computed twice, and the new beginning might differ from them.
        Attempt crash = new Attempt("llm-1", Attempt.End.BROKEN, true, 40, false);

        assertThat(policy.decide(request(true, 10), crash, true, budget, 5))
                .isInstanceOfSatisfying(
                        RetryDecision.Resume.class,
                        resume -> assertThat(resume.request().resumedTokens()).isEqualTo(40));
        assertThat(policy.decide(request(true, 10), crash, false, budget, 5))
                .isEqualTo(new RetryDecision.GiveUp(new FinalOutcome.Truncated(40), RetryDecision.Reason.MAY_HAVE_RUN));
    }

    @Test
    void resumesAnInterruptedAnswerOnceEvenIfTheBudgetIsExhausted() {
        // A middlebox between a daemon and an engine cuts all connections at once, which interrupts more answers than
        // the budget covers. Without the free resumption, an unknown outcome would be reported to callers that have
        // received half of their answer.
        while (budget.tryAcquire()) {
            // Exhausts the budget.
        }
        Attempt cut = new Attempt("llm-1", Attempt.End.BROKEN, true, 40, false);

        RetryDecision first = policy.decide(request(true, 0), cut, true, budget, 5);

        assertThat(first).isInstanceOf(RetryDecision.Resume.class);
        Attempt again = new Attempt("llm-2", Attempt.End.BROKEN, true, 60, false);
        assertThat(policy.decide(((RetryDecision.Resume) first).request(), again, true, budget, 5))
                .isEqualTo(new RetryDecision.GiveUp(new FinalOutcome.Truncated(60), RetryDecision.Reason.BUDGET_SPENT));
    }

    @Test
    void retriesPreemptedRequestsWithoutUsingTheBudget() {
        budget.tryAcquire();
        budget.tryAcquire();
        Attempt preempted = new Attempt("llm-1", Attempt.End.PREEMPTED, true, 40, false);

        assertThat(policy.decide(request(true, 0), preempted, true, budget, 5))
                .isInstanceOfSatisfying(
                        RetryDecision.Resume.class,
                        resume -> assertThat(resume.request().excludedWorkers()).isEmpty());
        Attempt broken = new Attempt("llm-1", Attempt.End.BROKEN, true, 0, true);
        assertThat(policy.decide(request(true, 0), broken, true, budget, 5))
                .isEqualTo(new RetryDecision.GiveUp(new FinalOutcome.Unknown(), RetryDecision.Reason.BUDGET_SPENT));
    }

    @Property(seed = "42", tries = 50)
    void limitsRetriesToAFractionOfSuccessesAtAnyFailureRate(
            @ForAll @IntRange(max = 100) int failPercent, @ForAll long seed) {
        // Workers fail under load, and every failed request is retried. Without a limit, the load would double when
        // capacity is lowest, and the overload would outlast its cause.
        Random random = new Random(seed);
        RetryBudget budgetOfATenth = new FractionRetryBudget(0.1, 10);
        int successes = 0;
        int retries = 0;
        for (int i = 0; i < 5_000; i++) {
            if (random.nextInt(100) >= failPercent) {
                successes++;
                budgetOfATenth.recordSuccess();
            } else if (budgetOfATenth.tryAcquire()) {
                retries++;
            }
        }
        assertThat(retries).isLessThanOrEqualTo((int) (0.1 * successes) + 10);
    }

    private static CellRequest request(boolean idempotent, int resumedTokens) {
        return new CellRequest("a", PAYOUT, "bank", 7, 10, 0, idempotent, resumedTokens, Set.of());
    }
}
