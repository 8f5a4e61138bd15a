package org.dotterelcourse.gateway.forward;

/**
 * An answer of the router itself.
 *
 * @param status the HTTP status
 * @param reason why, for the client and the log
 * @param retryAfterMillis when a repeat makes sense, 0 if nothing can be said
 */
public record OwnAnswer(int status, String reason, long retryAfterMillis) {
    /** Not run, and will not be: the client may come back. */
    public static final int UNAVAILABLE = 503;

    /** May have run, and its answer is lost. */
    public static final int BAD_GATEWAY = 502;

    /** May be running still, and the time is up. */
    public static final int GATEWAY_TIMEOUT = 504;

    /**
     * The request has not run.
     *
     * @param reason why
     * @param retryAfterMillis when to come back
     * @return the answer
     */
    public static OwnAnswer notRun(String reason, long retryAfterMillis) {
        return new OwnAnswer(UNAVAILABLE, reason, retryAfterMillis);
    }

    /**
     * The request may have run.
     *
     * @param reason why nothing is known of it
     * @return the answer
     */
    public static OwnAnswer unknown(String reason) {
        return new OwnAnswer(BAD_GATEWAY, reason, 0);
    }
}
