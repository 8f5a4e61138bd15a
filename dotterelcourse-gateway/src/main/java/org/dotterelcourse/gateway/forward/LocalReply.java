package org.dotterelcourse.gateway.forward;

/**
 * A response that the router generates itself, instead of passing on one of a worker.
 *
 * @param status the HTTP status code
 * @param reason the reason for the status, for the request log
 * @param retryAfterMillis the time in milliseconds after which the client should retry, sent as Retry-After; 0 to send
 *     none
 */
public record LocalReply(int status, String reason, long retryAfterMillis) {
    /** Status for a request that was not executed and will not be. The client may retry. */
    public static final int UNAVAILABLE = 503;

    /** Status for a request that may have been executed, and whose response was lost. */
    public static final int BAD_GATEWAY = 502;

    /** Status for a request that may still be running at its deadline. */
    public static final int GATEWAY_TIMEOUT = 504;

    /**
     * Creates a reply for a request that no worker has executed or will execute.
     *
     * @param reason the reason, for the request log
     * @param retryAfterMillis the time in milliseconds after which the client should retry; 0 to send none
     * @return the reply, with status 503
     */
    public static LocalReply notExecuted(String reason, long retryAfterMillis) {
        return new LocalReply(UNAVAILABLE, reason, retryAfterMillis);
    }

    /**
     * Creates a reply for a request that a worker may have executed.
     *
     * @param reason why the outcome is unknown, for the request log
     * @return the reply, with status 502 and no retry time
     */
    public static LocalReply possiblyExecuted(String reason) {
        return new LocalReply(BAD_GATEWAY, reason, 0);
    }
}
