package org.dotterelcourse.policy.admission;

import java.util.HashMap;
import java.util.Map;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;

/**
 * Foretells waits from the measured rate at which the cell's slots do work.
 *
 * <p>Answers the load patterns of sustained overload and of callers that ask again at once. Without early refusal,
 * eligibility checks that will miss their target wait for it all the same, and then take a slot for an answer that
 * nobody reads. Without a measured retry-after, refused callers come back together after a fixed time.
 *
 * <p>The rate is work over time held, both decaying, and so doesn't fall while the cell idles. A half-life of 64 requests
 * is some seconds under load; the first {@value #FEWEST_SEEN} say nothing.
 */
public final class DrainRateAdmission implements Admission {
    private static final int FEWEST_SEEN = 16;
    private static final double KEPT = Math.pow(0.5, 1.0 / 64);
    /** A worker's own time may be taken to use so much of a target: else a bad spell would refuse a class for good. */
    private static final double MOST_OF_TARGET = 0.75;

    private static final long SHORTEST_RETRY_NANOS = 250_000_000L;
    private static final long LONGEST_RETRY_NANOS = 60_000_000_000L;
    private static final long UNKNOWN_RETRY_NANOS = 1_000_000_000L;

    private final Map<String, FirstTokenTime> firstTokens = new HashMap<>();
    private double workDone;
    private double slotNanos;
    private int seen;

    @Override
    public void observe(CellRequest ask, double work, Completion completion, long nowNanos) {
        if (work <= 0 || completion.durationNanos() <= 0) {
            return;
        }
        seen = Math.min(seen + 1, FEWEST_SEEN);
        workDone = workDone * KEPT + work;
        slotNanos = slotNanos * KEPT + completion.durationNanos();
        if (completion.firstTokenNanos() >= 0) {
            firstTokens
                    .computeIfAbsent(ask.terms().name(), name -> new FirstTokenTime())
                    .add(completion.firstTokenNanos());
        }
    }

    @Override
    public boolean tooLate(CellRequest ask, double workAhead, int slots, long nowNanos) {
        if (!ask.terms().lateIsUseless()) {
            return false;
        }
        long startNanos = nowNanos + drainNanos(workAhead, slots);
        return startNanos > startByNanos(ask);
    }

    @Override
    public long drainNanos(double work, int slots) {
        if (seen < FEWEST_SEEN || workDone <= 0 || slots == 0) {
            return 0;
        }
        return (long) (work / workDone * slotNanos / slots);
    }

    @Override
    public long retryAfterNanos(double workAhead, int slots) {
        long drain = drainNanos(workAhead, slots);
        if (drain == 0) {
            return UNKNOWN_RETRY_NANOS;
        }
        return Math.max(SHORTEST_RETRY_NANOS, Math.min(LONGEST_RETRY_NANOS, drain));
    }

    @Override
    public long startByNanos(CellRequest ask) {
        if (ask.resumedTokens() > 0) {
            return Long.MAX_VALUE;
        }
        FirstTokenTime time = firstTokens.get(ask.terms().name());
        double needed = time == null ? 0 : time.usuallyWithin();
        double most = MOST_OF_TARGET * ask.terms().targetNanos();
        return ask.dueNanos() - (long) Math.min(needed, most);
    }
}
