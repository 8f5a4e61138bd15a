package org.dotterelcourse.policy.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * Until when this process sends nothing to workers that have asked it to back off, by worker incarnation.
 *
 * <p>Answers overloaded workers, which ask each process separately; what one process is asked does not bind its peers. A
 * worker's backoff is not shortened by later answers, since an answer with a shorter time may have been sent earlier.
 */
public final class WorkerBackoffs {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<Integer, Long> endsNanos = new HashMap<>();

    /**
     * Records that a worker has asked this process to back off.
     *
     * @param worker the worker's incarnation
     * @param millis how long the worker wants no requests, in milliseconds from now
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether a backoff begins, which is not the case if the worker's previous one has not ended
     */
    public boolean extend(int worker, long millis, long nowNanos) {
        removeEnded(nowNanos);
        if (millis <= 0) {
            return false;
        }
        long endNanos = nowNanos + millis * NANOS_PER_MILLI;
        Long before = endsNanos.get(worker);
        if (before == null || endNanos - before > 0) {
            endsNanos.put(worker, endNanos);
        }
        return before == null;
    }

    /**
     * Returns whether the backoff of any worker has not ended.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return false if there is none, so that callers need not look at each worker
     */
    public boolean isAnyActive(long nowNanos) {
        removeEnded(nowNanos);
        return !endsNanos.isEmpty();
    }

    private void removeEnded(long nowNanos) {
        endsNanos.values().removeIf(end -> end - nowNanos <= 0);
    }

    /**
     * Returns how long a worker's backoff lasts.
     *
     * @param worker the worker's incarnation
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the remaining time in milliseconds, rounded up; 0 if the worker has not asked for a backoff, or its time is
     *     over
     */
    public long remainingMillis(int worker, long nowNanos) {
        Long endNanos = endsNanos.get(worker);
        return endNanos == null ? 0 : Math.max(0, (endNanos - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    }
}
