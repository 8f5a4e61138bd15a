package org.dotterelcourse.daemon.upstream;

/**
 * Why a call to a worker brought no whole answer.
 *
 * @param kind what is known about whether it ran
 * @param detail for the log and the caller; never holds a part of a prompt or an answer
 */
public record UpstreamFailure(Kind kind, String detail) {
    /** What is known about whether the call ran. */
    public enum Kind {
        /** No connection could be made; not a byte was written. It did not run. */
        UNREACHABLE,
        /** The worker refused before it started. It did not run. */
        REFUSED,
        /** The worker refused before it started and takes no more work. It did not run. */
        LEAVING,
        /** The connection broke, or the answer made no sense, after something was written. It may have run. */
        BROKEN,
        /** Nothing came for too long after something was written. It may have run. */
        SILENT,
        /** The scheduler took the worker away. It has run in part. */
        PREEMPTED
    }

    /**
     * Whether the call has certainly not run.
     *
     * @return true if it is safe to run it elsewhere, whatever it does
     */
    public boolean notRun() {
        return kind == Kind.UNREACHABLE || kind == Kind.REFUSED || kind == Kind.LEAVING;
    }
}
