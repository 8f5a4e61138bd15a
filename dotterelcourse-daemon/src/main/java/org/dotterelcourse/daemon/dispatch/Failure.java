package org.dotterelcourse.daemon.dispatch;

import java.util.List;

/**
 * Why a caller gets no whole answer, in the terms of problem details (RFC 9457).
 *
 * @param status the HTTP status
 * @param title what kind of failure
 * @param detail this one in particular; never a stack trace, a key, a prompt or an answer
 * @param outcome whether the request ran
 * @param retryAfterNanos when it is worth asking again, from now; 0 if no time would help
 * @param known the names that would have been right, empty if that is not the matter
 */
public record Failure(
        int status, String title, String detail, Outcome outcome, long retryAfterNanos, List<String> known) {
    /** Status of a request that can't be understood. */
    public static final int BAD_REQUEST = 400;

    /** Status of a caller that isn't known. */
    public static final int UNAUTHORIZED = 401;

    /** Status of a class, model, upstream or path that isn't known. */
    public static final int NOT_FOUND = 404;

    /** Status of a body that is too large. */
    public static final int TOO_LARGE = 413;

    /** Status of a full queue or a spent budget. */
    public static final int TOO_MANY = 429;

    /** Status of a worker's failure. */
    public static final int BAD_GATEWAY = 502;

    /** Status when no worker, or no daemon, is ready. */
    public static final int UNAVAILABLE = 503;

    /** Status of a deadline that has passed. */
    public static final int TIMEOUT = 504;

    /**
     * A failure before anything ran, with no time to come back and no names to offer.
     *
     * @param status the HTTP status
     * @param title what kind of failure
     * @param detail this one in particular
     * @return the failure
     */
    public static Failure notRun(int status, String title, String detail) {
        return new Failure(status, title, detail, new Outcome.NotRun(), 0, List.of());
    }

    /**
     * A failure after something may have run.
     *
     * @param status the HTTP status
     * @param title what kind of failure
     * @param detail this one in particular
     * @return the failure
     */
    public static Failure unknown(int status, String title, String detail) {
        return new Failure(status, title, detail, new Outcome.Unknown(), 0, List.of());
    }

    /**
     * The same, with the time to come back.
     *
     * @param nanos from now
     * @return a new failure
     */
    public Failure retryAfter(long nanos) {
        return new Failure(status, title, detail, outcome, nanos, known);
    }

    /**
     * The same, with the names that would have been right.
     *
     * @param names the names
     * @return a new failure
     */
    public Failure known(List<String> names) {
        return new Failure(status, title, detail, outcome, retryAfterNanos, List.copyOf(names));
    }
}
