package org.dotterelcourse.daemon.dispatch;

import java.util.List;

/**
 * Why a caller gets no complete answer, in the terms of problem details (RFC 9457).
 *
 * @param status the HTTP status
 * @param title the type of the failure
 * @param detail the cause of this failure; never contains a stack trace, a key, a prompt or an answer
 * @param outcome whether the request was executed
 * @param retryAfterNanos time until a retry may succeed, in nanoseconds; 0 if a retry is not useful
 * @param known the valid names, if the failure is an unknown name; otherwise empty
 */
public record Failure(
        int status, String title, String detail, Outcome outcome, long retryAfterNanos, List<String> known) {
    /** HTTP status of a malformed request. */
    public static final int BAD_REQUEST = 400;

    /** HTTP status of a caller without valid credentials. */
    public static final int UNAUTHORIZED = 401;

    /** HTTP status of an unknown class, model, upstream or path. */
    public static final int NOT_FOUND = 404;

    /** HTTP status of a body that is too large. */
    public static final int TOO_LARGE = 413;

    /** HTTP status for a full queue or an exhausted budget. */
    public static final int TOO_MANY = 429;

    /** HTTP status for a failure of a worker. */
    public static final int BAD_GATEWAY = 502;

    /** HTTP status if no worker or no daemon is ready. */
    public static final int UNAVAILABLE = 503;

    /** HTTP status for an exceeded deadline. */
    public static final int TIMEOUT = 504;

    /**
     * Creates a failure of a request that was not executed, without retry time and valid names.
     *
     * @param status the HTTP status
     * @param title the type of the failure
     * @param detail the cause of this failure
     * @return the failure
     */
    public static Failure notRun(int status, String title, String detail) {
        return new Failure(status, title, detail, new Outcome.NotRun(), 0, List.of());
    }

    /**
     * Creates a failure of a request that may have been executed, without retry time and valid names.
     *
     * @param status the HTTP status
     * @param title the type of the failure
     * @param detail the cause of this failure
     * @return the failure
     */
    public static Failure unknown(int status, String title, String detail) {
        return new Failure(status, title, detail, new Outcome.Unknown(), 0, List.of());
    }

    /**
     * Returns a copy with a retry time.
     *
     * @param nanos time until a retry may succeed, in nanoseconds
     * @return a new failure
     */
    public Failure retryAfter(long nanos) {
        return new Failure(status, title, detail, outcome, nanos, known);
    }

    /**
     * Returns a copy with the valid names.
     *
     * @param names the valid names
     * @return a new failure
     */
    public Failure known(List<String> names) {
        return new Failure(status, title, detail, outcome, retryAfterNanos, List.copyOf(names));
    }
}
