package org.dotterelcourse.policy.admission;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;

/**
 * Estimates queueing delays from the measured rate at which the slots of the cell complete work.
 *
 * <p>Answers sustained overload and callers that retry immediately. Without early rejection, requests that cannot meet
 * their target wait anyway and then occupy a slot for an answer that nobody reads. Without a measured retry-after, all
 * rejected callers return at the same time after a fixed delay.
 *
 * <p>The rate is completed work divided by slot time. Both sums decay per request and not per time unit, so the rate
 * does not drop while the cell is idle. The half-life of 64 requests corresponds to a few seconds under load. No
 * estimate is given before {@value #MIN_SAMPLES} requests have completed.
 */
public final class DrainRateAdmission implements Admission {
    private static final int MIN_SAMPLES = 16;
    private static final double DECAY_PER_SAMPLE = Math.pow(0.5, 1.0 / 64);
    /**
     * Upper bound of the estimated time to the first token, as a fraction of the target. Without it, a phase of slow
     * answers would make every request of a class too late and so reject the class permanently.
     */
    private static final double MAX_FIRST_TOKEN_FRACTION = 0.75;

    private static final long MIN_RETRY_AFTER_NANOS = 250_000_000L;
    private static final long MAX_RETRY_AFTER_NANOS = 60_000_000_000L;
    private static final long DEFAULT_RETRY_AFTER_NANOS = 1_000_000_000L;

    private final Map<String, FirstTokenTime> firstTokenTimeByClass = new HashMap<>();
    private double completedWork;
    private double slotNanos;
    private int samples;

    @Override
    public void observe(CellRequest request, double work, Completion completion, long nowNanos) {
        if (work <= 0 || completion.durationNanos() <= 0) {
            return;
        }
        samples = Math.min(samples + 1, MIN_SAMPLES);
        completedWork = completedWork * DECAY_PER_SAMPLE + work;
        slotNanos = slotNanos * DECAY_PER_SAMPLE + completion.durationNanos();
        if (completion.firstTokenNanos() >= 0) {
            firstTokenTimeByClass
                    .computeIfAbsent(request.terms().name(), name -> new FirstTokenTime())
                    .add(completion.firstTokenNanos());
        }
    }

    @Override
    public boolean isTooLate(CellRequest request, double workAhead, int slots, long nowNanos) {
        if (!request.terms().lateIsUseless()) {
            return false;
        }
        long startNanos = nowNanos + drainNanos(workAhead, slots);
        return startNanos > latestStartNanos(request);
    }

    @Override
    public long drainNanos(double work, int slots) {
        if (samples < MIN_SAMPLES || completedWork <= 0 || slots == 0) {
            return 0;
        }
        return (long) (work / completedWork * slotNanos / slots);
    }

    @Override
    public long retryAfterNanos(double workAhead, int slots) {
        long drain = drainNanos(workAhead, slots);
        if (drain == 0) {
            return DEFAULT_RETRY_AFTER_NANOS;
        }
        return Math.max(MIN_RETRY_AFTER_NANOS, Math.min(MAX_RETRY_AFTER_NANOS, drain));
    }

    @Override
    public long latestStartNanos(CellRequest request) {
        if (request.resumedTokens() > 0) {
            return Long.MAX_VALUE;
        }
        FirstTokenTime firstTokenTime =
                firstTokenTimeByClass.get(request.terms().name());
        double estimate = firstTokenTime == null ? 0 : firstTokenTime.upperBoundNanos();
        double maxEstimate = MAX_FIRST_TOKEN_FRACTION * request.terms().targetNanos();
        return request.dueNanos() - (long) Math.min(estimate, maxEstimate);
    }
}
