package org.dotterelcourse.experiments;

import org.dotterelcourse.policy.retry.FractionRetryBudget;
import org.dotterelcourse.policy.retry.RetryBudget;

/** Measures what retries add to the offered load when a fraction of all attempts fails. */
final class RetryLoad {
    static final int[] FAILING_PERCENT = {0, 5, 10, 30, 50, 90, 100};

    private static final long SEED = 1;
    private static final double LOAD = 0.6;

    /**
     * One trial.
     *
     * @param offered requests that callers sent
     * @param retries attempts beyond the first
     * @param answered requests answered
     */
    record Result(int offered, double retries, long answered) {}

    private static final class Unbounded implements RetryBudget {
        @Override
        public void recordSuccess() {
            // Nothing is counted.
        }

        @Override
        public boolean tryAcquire() {
            return true;
        }
    }

    private RetryLoad() {}

    static Result bounded(int failingPercent) {
        return run(
                failingPercent,
                new FractionRetryBudget(FractionRetryBudget.DEFAULT_FRACTION, FractionRetryBudget.DEFAULT_RESERVE));
    }

    static Result unbounded(int failingPercent) {
        return run(failingPercent, new Unbounded());
    }

    private static Result run(int failingPercent, RetryBudget budget) {
        Trial trial = new Trial(Contender.WHOLE.maker().apply(SEED), budget, Workload.WORKERS, Workload.SECOND);
        trial.failing(failingPercent / 100.0, SEED);
        new Workload(trial, SEED).all(LOAD, 0, Pattern.SECONDS);
        trial.run(Pattern.SECONDS * Workload.SECOND);
        long answered = trial.calls.stream()
                .filter(call -> call.state == Call.State.ANSWERED)
                .count();
        return new Result(trial.calls.size(), trial.tally.retries, answered);
    }
}
