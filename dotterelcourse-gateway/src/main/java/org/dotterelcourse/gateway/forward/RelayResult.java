package org.dotterelcourse.gateway.forward;

/** What a peer has answered to a relayed request. */
sealed interface RelayResult {
    /**
     * A worker's response, passed on by the peer.
     *
     * @param response the response without the peer's own headers
     */
    record Responded(StreamedResponse response) implements RelayResult {}

    /**
     * No worker has executed the request or will.
     *
     * @param reason the peer's reason
     * @param wasReached whether a worker was sent the request and rejected it
     * @param retryAfterMillis time in milliseconds after which the client should retry
     */
    record NotExecuted(String reason, boolean wasReached, long retryAfterMillis) implements RelayResult {}

    /**
     * A worker may have executed the request.
     *
     * @param reason the peer's reason
     */
    record Unknown(String reason) implements RelayResult {}
}
