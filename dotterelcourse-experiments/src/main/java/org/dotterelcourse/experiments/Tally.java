package org.dotterelcourse.experiments;

import java.util.Arrays;

import org.dotterelcourse.policy.cell.ClassTerms;

/** What a trial counts beside its calls. */
final class Tally {
    private static final long BUSY_FROM_NANOS = 40 * Workload.SECOND;
    private static final long BUSY_TO_NANOS = 90 * Workload.SECOND;

    /** Output tokens per tier, of the middle of a trial, when all patterns are in force. */
    private final long[] computed = new long[ClassTerms.LOWEST_TIER + 1];

    /** Output tokens that were computed and of no use: of answers cut off, or late where late is useless. */
    long wasted;

    /** Tokens of prompts and answers that were read a second time, for retries and resumed answers. */
    long readAgain;

    /** Output tokens of the requests that a worker held when it crashed. */
    long heldByCrashed;

    long retries;
    long preemptions;

    void computed(int tier, long nowNanos) {
        if (nowNanos >= BUSY_FROM_NANOS && nowNanos < BUSY_TO_NANOS) {
            computed[tier]++;
        }
    }

    /** The lowest tier's fraction of the output tokens. */
    double lowestShare() {
        return (double) computed[ClassTerms.LOWEST_TIER]
                / Math.max(1, Arrays.stream(computed).sum());
    }
}
