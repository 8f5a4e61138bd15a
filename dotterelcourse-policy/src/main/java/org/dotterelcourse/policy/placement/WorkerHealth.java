package org.dotterelcourse.policy.placement;

import org.dotterelcourse.policy.cell.CellSettings;

/**
 * Outlier detection for one worker: ejects it after failures or when it is too slow, and readmits it by probes after an
 * exponential backoff.
 *
 * <p>Without ejection, a crashed worker attracts requests: each of them fails at once, so that the worker always has
 * free slots. A worker being probed may run one request, then two, then four, so that a worker that still fails costs
 * one request per backoff.
 */
final class WorkerHealth {
    private static final long MAX_BACKOFF_NANOS = 60_000_000_000L;
    private static final double MAX_SLOW_FACTOR = 16;

    private final CellSettings settings;
    private final TokenTimeWindow tokenTimes = new TokenTimeWindow();
    private double slowFactor = 1;
    private int consecutiveFailures;
    private long backoffNanos;
    private long backoffUntilNanos;
    private boolean isEjected;
    private int probeLimit;

    WorkerHealth(CellSettings settings) {
        this.settings = settings;
        this.backoffNanos = settings.probeAfterNanos();
    }

    void addSample(double perTokenNanos, long nowNanos) {
        tokenTimes.add(perTokenNanos, nowNanos);
    }

    /** Returns the median time per token in microseconds, or 0 if there are too few samples. */
    double medianMicros(long nowNanos) {
        return tokenTimes.medianMicros(nowNanos);
    }

    /**
     * Updates the slow factor from the medians of the worker and the cell; ignored if either is 0 (too few samples).
     */
    void updateSlowFactor(double median, double cellMedian) {
        if (median <= 0 || cellMedian <= 0) {
            return;
        }
        double ratio = Math.min(MAX_SLOW_FACTOR, median / cellMedian);
        slowFactor = ratio < settings.toleratedSlowFactor() ? 1 : ratio;
    }

    /** Returns how many times slower than the cell's median the worker is; 1 if it is not notably slower. */
    double slowFactor() {
        return slowFactor;
    }

    void recordFailure() {
        consecutiveFailures++;
    }

    /**
     * Records a successful request. If the worker is being probed and is not too slow, doubles the number of requests
     * that it may run, and readmits it when that reaches its concurrency.
     */
    void recordSuccess(int concurrency) {
        consecutiveFailures = 0;
        if (!isEjected || isTooSlow()) {
            return;
        }
        probeLimit *= 2;
        if (probeLimit >= concurrency) {
            isEjected = false;
            backoffNanos = settings.probeAfterNanos();
        }
    }

    boolean shouldEject() {
        return consecutiveFailures >= settings.ejectionFailures() || isTooSlow();
    }

    /** Ejects the worker and doubles the backoff of the next ejection. */
    void eject(long nowNanos) {
        backoffUntilNanos = nowNanos + backoffNanos;
        backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
        isEjected = true;
        probeLimit = 1;
        consecutiveFailures = 0;
        slowFactor = 1;
        tokenTimes.clear();
    }

    /** Returns whether the worker is ejected, either in backoff or being probed. */
    boolean isEjected() {
        return isEjected;
    }

    boolean isBackingOff(long nowNanos) {
        return isEjected && nowNanos < backoffUntilNanos;
    }

    /** Returns how many requests a worker that is being probed may run concurrently. */
    int probeLimit() {
        return probeLimit;
    }

    /** Returns whether a probe failed or was too slow; a single one is enough to eject the worker again. */
    boolean hasFailedProbe() {
        return isEjected && (consecutiveFailures > 0 || isTooSlow());
    }

    private boolean isTooSlow() {
        return slowFactor >= settings.ejectionFactor();
    }
}
