package org.dotterelcourse.policy.retry;

/**
 * How an attempt at a worker ended, as far as the process that made it saw.
 *
 * @param worker the worker's name
 * @param end how it ended
 * @param bytesWritten whether any byte of the request may have left this process
 * @param tokensSeen tokens of the answer that have arrived, with those that the attempt was resumed from
 * @param nothingSeen whether no byte of an answer has come, from this attempt or an earlier one
 */
public record Attempt(String worker, End end, boolean bytesWritten, int tokensSeen, boolean nothingSeen) {
    /** The ways in which an attempt fails. */
    public enum End {
        /** The connection could not be made. */
        NO_CONNECTION,
        /** The worker said that it refused before it started. */
        REFUSED_BEFORE_START,
        /** The worker refused before it started and takes no more work. */
        LEAVING,
        /** The connection broke. */
        BROKEN,
        /** Nothing came for too long. */
        TIMED_OUT,
        /** The worker answered with an error of its own after it may have started. */
        ERROR,
        /** The grant ran out or was taken back before anything was sent. */
        NEVER_SENT,
        /** The scheduler preempted it. */
        PREEMPTED
    }
}
