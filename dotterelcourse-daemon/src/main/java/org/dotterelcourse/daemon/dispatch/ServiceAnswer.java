package org.dotterelcourse.daemon.dispatch;

/** Result of a call to a plain service. */
public sealed interface ServiceAnswer {
    /**
     * The service has answered, with any status.
     *
     * @param status the HTTP status
     * @param contentType the content type of the body
     * @param body the complete body
     */
    record Answered(int status, String contentType, byte[] body) implements ServiceAnswer {}

    /**
     * The call failed without an answer.
     *
     * @param failure the failure reported to the caller
     */
    record Failed(Failure failure) implements ServiceAnswer {}
}
