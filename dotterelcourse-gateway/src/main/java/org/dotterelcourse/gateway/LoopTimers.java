package org.dotterelcourse.gateway;

/** Clock and timers of an event loop. */
public interface LoopTimers {
    /**
     * Returns the current time of the monotonic clock that all decisions of the gateway use.
     *
     * @return nanoseconds since an arbitrary origin, which is fixed for the life of the process
     */
    long nowNanos();

    /**
     * Runs a task once after a delay. May be called on any thread.
     *
     * @param delayMillis the delay in milliseconds
     * @param task must not block; exceptions are logged
     */
    void runAfter(long delayMillis, Runnable task);
}
