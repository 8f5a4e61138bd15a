package org.dotterelcourse.policy.retry;

/**
 * A failed attempt to run a request at a worker, as observed by the process that made it.
 *
 * @param worker name of the worker
 * @param end how the attempt failed
 * @param bytesWritten whether any byte of the request may have left this process
 * @param tokensReceived number of tokens of the answer received so far, including those that the attempt was resumed
 *     from
 * @param nothingReceived whether no byte of an answer has been received, neither from this attempt nor from earlier
 *     ones
 */
public record Attempt(String worker, End end, boolean bytesWritten, int tokensReceived, boolean nothingReceived) {
    /** How an attempt failed. */
    public enum End {
        /** The connection could not be established. */
        NO_CONNECTION,
        /** The worker reported that it rejected the request before executing any of it. */
        REFUSED_BEFORE_START,
        /** The worker rejected the request before executing any of it, and accepts no more requests. */
        LEAVING,
        /** The connection was lost. */
        BROKEN,
        /** No data was received within the time-out. */
        TIMED_OUT,
        /** The worker answered with an error, possibly after it had started to execute the request. */
        ERROR,
        /** The grant expired or was revoked before anything was sent. */
        NEVER_SENT,
        /** The scheduler preempted the request. */
        PREEMPTED
    }
}
