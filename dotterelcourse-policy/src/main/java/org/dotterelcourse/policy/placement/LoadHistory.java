package org.dotterelcourse.policy.placement;

import java.util.Arrays;

/**
 * Ring buffer of a worker's recent number of grants from this cell, so that a late load report can be compared with the
 * number at the time of its measurement. Each bucket holds the maximum over a quarter of a second.
 */
final class LoadHistory {
    private static final long BUCKET_NANOS = 250_000_000L;
    private static final int BUCKETS = 80;

    /**
     * Buckets to search on each side of the requested time, because a grant reaches the worker, and leaves it, some
     * time after it is counted here.
     */
    private static final int ADJACENT_BUCKETS = 2;

    private final int[] maxima = new int[BUCKETS];
    private final long[] bucketNumbers = new long[BUCKETS];

    LoadHistory() {
        Arrays.fill(bucketNumbers, Long.MIN_VALUE);
    }

    void record(int grants, long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
        int index = (int) Math.floorMod(bucket, (long) BUCKETS);
        if (bucketNumbers[index] == bucket) {
            maxima[index] = Math.max(maxima[index], grants);
        } else {
            bucketNumbers[index] = bucket;
            maxima[index] = grants;
        }
    }

    /** Returns the maximum number of grants around a past time, or -1 if nothing is recorded for that time. */
    int maxAround(long timeNanos) {
        long middle = Math.floorDiv(timeNanos, BUCKET_NANOS);
        int max = -1;
        for (long bucket = middle - ADJACENT_BUCKETS; bucket <= middle + ADJACENT_BUCKETS; bucket++) {
            int index = (int) Math.floorMod(bucket, (long) BUCKETS);
            if (bucketNumbers[index] == bucket) {
                max = Math.max(max, maxima[index]);
            }
        }
        return max;
    }
}
