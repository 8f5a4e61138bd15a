package org.dotterelcourse.daemon.upstream;

/**
 * The reason why a call to a worker did not produce a complete answer.
 *
 * @param kind the kind of failure, which determines whether the call may have run
 * @param detail a description for the log and the client; it never contains any part of a prompt or an answer
 */
public record UpstreamFailure(Kind kind, String detail) {
    /** Kinds of failure, distinguished by whether the call may have run. */
    public enum Kind {
        /** The call failed before any byte was written, usually without a connection. It did not run. */
        UNREACHABLE,
        /** The worker refused the call before starting it. It did not run. */
        REFUSED,
        /** The worker accepts no more calls and refused this one before starting it. It did not run. */
        LEAVING,
        /** After data was written, the connection broke or the response was invalid. It may have run. */
        BROKEN,
        /** After data was written, the worker sent nothing within the timeout. It may have run. */
        SILENT,
        /** The scheduler preempted the call. It has run in part. */
        PREEMPTED
    }

    /**
     * Returns whether the call has certainly not run.
     *
     * @return {@code true} if the call can be retried on another worker even if it is not idempotent
     */
    public boolean notRun() {
        return kind == Kind.UNREACHABLE || kind == Kind.REFUSED || kind == Kind.LEAVING;
    }
}
