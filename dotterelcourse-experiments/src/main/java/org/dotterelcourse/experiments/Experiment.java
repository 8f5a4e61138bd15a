package org.dotterelcourse.experiments;

import java.util.List;
import java.util.stream.LongStream;

import org.dotterelcourse.policy.retry.FractionRetryBudget;
import org.dotterelcourse.policy.retry.RetryBudget;

/** Runs a contender under a pattern, over several seeds. */
final class Experiment {
    private static final int SEEDS = 5;

    private Experiment() {}

    static Outcome run(Pattern pattern, Contender contender) {
        List<Outcome> all = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> once(pattern, contender, seed))
                .toList();
        return Outcome.mean(all);
    }

    static Outcome once(Pattern pattern, Contender contender, long seed) {
        RetryBudget budget =
                new FractionRetryBudget(FractionRetryBudget.DEFAULT_FRACTION, FractionRetryBudget.DEFAULT_RESERVE);
        Trial trial = new Trial(contender.maker().apply(seed), budget, Workload.WORKERS, pattern.reportLagNanos());
        pattern.prepare(trial, new Workload(trial, seed));
        trial.run(Pattern.SECONDS * Workload.SECOND);
        return Outcome.of(trial);
    }
}
