package org.dotterelcourse.gateway.forward;

/** Result of sending a request to one worker, unless the worker's response is passed on as a stream. */
sealed interface AttemptResult {
    /**
     * The worker sent a complete response.
     *
     * @param response the response, with any status
     */
    record Responded(BufferedResponse response) implements AttemptResult {}

    /**
     * The worker has not executed the request and will not.
     *
     * @param reason how this is known, for the request log
     * @param wasReached whether any part of the request was sent to the worker
     */
    record NotExecuted(String reason, boolean wasReached) implements AttemptResult {}

    /**
     * It cannot be determined whether the worker executed the request.
     *
     * @param reason what went wrong, for the request log
     */
    record Unknown(String reason) implements AttemptResult {}
}
