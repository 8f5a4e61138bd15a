package org.dotterelcourse.gateway.forward;

/** How sending a request to one worker ended, if not with a stream that is under way. */
sealed interface AttemptResult {
    /**
     * The worker's whole answer.
     *
     * @param answer the answer, whatever its status
     */
    record Answered(WholeAnswer answer) implements AttemptResult {}

    /**
     * The worker has not run the request and will not.
     *
     * @param reason how that is known
     * @param reached whether anything of the request was sent to it
     */
    record NotRun(String reason, boolean reached) implements AttemptResult {}

    /**
     * Nobody can tell whether the request ran.
     *
     * @param reason what happened
     */
    record Unknown(String reason) implements AttemptResult {}
}
