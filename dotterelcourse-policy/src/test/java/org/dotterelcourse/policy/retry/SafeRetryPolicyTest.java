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
    void neverSendsNonIdempotentWorkTwiceOnceAByteMayHaveReachedAWorker(
            @ForAll Attempt.End end, @ForAll boolean resumable, @ForAll @IntRange(max = 50) int tokens) {
        // The connection breaks after a payout was sent. Nobody can tell whether it was paid; sent again, it is paid
        // twice. Only the worker's own word that it hasn't started is taken for proof.
        Attempt attempt = new Attempt("llm-1", end, true, tokens, tokens == 0);
        boolean workerSaysNotStarted =
                tokens == 0 && (end == Attempt.End.REFUSED_BEFORE_START || end == Attempt.End.LEAVING);

        RetryDecision decision = policy.decide(ask(false, 0), attempt, resumable, budget, 5);

        assertThat(decision instanceof RetryDecision.GiveUp).isEqualTo(!workerSaysNotStarted);
        if (decision instanceof RetryDecision.GiveUp giveUp) {
            assertThat(giveUp.outcome()).isNotInstanceOf(FinalOutcome.NotRun.class);
        }
    }

    @Test
    void retriesElsewhereWithItsArrivalAndWithoutTheWorkerThatFailed() {
        Attempt refused = new Attempt("llm-1", Attempt.End.NO_CONNECTION, false, 0, true);

        RetryDecision decision = policy.decide(ask(false, 0), refused, true, budget, 5);

        assertThat(decision).isInstanceOfSatisfying(RetryDecision.Restart.class, elsewhere -> {
            assertThat(elsewhere.request().arrivalNanos()).isEqualTo(7);
            assertThat(elsewhere.request().dueNanos()).isEqualTo(1_007);
            assertThat(elsewhere.request().excludedWorkers()).containsExactly("llm-1");
        });
    }

    @Test
    void resumesAnAnswerThatACrashCutOff() {
        // A worker crashes in the middle of an answer. The caller has forty tokens; computed again from the start they
        // are paid for twice, and another answer's start might not fit them.
        Attempt crash = new Attempt("llm-1", Attempt.End.BROKEN, true, 40, false);

        assertThat(policy.decide(ask(true, 10), crash, true, budget, 5))
                .isInstanceOfSatisfying(
                        RetryDecision.Resume.class,
                        resume -> assertThat(resume.request().resumedTokens()).isEqualTo(40));
        assertThat(policy.decide(ask(true, 10), crash, false, budget, 5))
                .isEqualTo(new RetryDecision.GiveUp(new FinalOutcome.CutShort(40), RetryDecision.Reason.MAY_HAVE_RUN));
    }

    @Test
    void goesOnOnceWithAnAnswerThatBrokeOffThoughTheBudgetIsSpent() {
        // Something between a daemon and an engine cuts all connections at once, and more answers break off than the
        // budget covers. Callers who have half of their answer would be told that nobody knows what became of it.
        while (budget.tryAcquire()) {
            // Spends it.
        }
        Attempt cut = new Attempt("llm-1", Attempt.End.BROKEN, true, 40, false);

        RetryDecision first = policy.decide(ask(true, 0), cut, true, budget, 5);

        assertThat(first).isInstanceOf(RetryDecision.Resume.class);
        Attempt again = new Attempt("llm-2", Attempt.End.BROKEN, true, 60, false);
        assertThat(policy.decide(((RetryDecision.Resume) first).request(), again, true, budget, 5))
                .isEqualTo(new RetryDecision.GiveUp(new FinalOutcome.CutShort(60), RetryDecision.Reason.BUDGET_SPENT));
    }

    @Test
    void asksForPreemptedWorkAgainWithoutTheBudget() {
        budget.tryAcquire();
        budget.tryAcquire();
        Attempt preempted = new Attempt("llm-1", Attempt.End.PREEMPTED, true, 40, false);

        assertThat(policy.decide(ask(true, 0), preempted, true, budget, 5))
                .isInstanceOfSatisfying(
                        RetryDecision.Resume.class,
                        resume -> assertThat(resume.request().excludedWorkers()).isEmpty());
        Attempt broken = new Attempt("llm-1", Attempt.End.BROKEN, true, 0, true);
        assertThat(policy.decide(ask(true, 0), broken, true, budget, 5))
                .isEqualTo(new RetryDecision.GiveUp(new FinalOutcome.Unknown(), RetryDecision.Reason.BUDGET_SPENT));
    }

    @Property(seed = "42", tries = 50)
    void addsNoMoreThanTheFractionOfSuccessesAtAnyFailureRate(
            @ForAll @IntRange(max = 100) int failPercent, @ForAll long seed) {
        // Workers fail under load, and every failure is offered again. Without a bound the load doubles just when there
        // is least room, and callers see the storm outlive the fault.
        Random random = new Random(seed);
        RetryBudget tenth = new FractionRetryBudget(0.1, 10);
        int successes = 0;
        int retries = 0;
        for (int i = 0; i < 5_000; i++) {
            if (random.nextInt(100) >= failPercent) {
                successes++;
                tenth.recordSuccess();
            } else if (tenth.tryAcquire()) {
                retries++;
            }
        }
        assertThat(retries).isLessThanOrEqualTo((int) (0.1 * successes) + 10);
    }

    private static CellRequest ask(boolean idempotent, int resumedTokens) {
        return new CellRequest("a", PAYOUT, "bank", 7, 10, 0, idempotent, resumedTokens, Set.of());
    }
}
