package org.dotterelcourse.daemon.dispatch;

/** How a call to a plain service ended for its caller. */
public sealed interface ServiceAnswer {
    /**
     * The service's own answer.
     *
     * @param status the HTTP status
     * @param contentType the body's type
     * @param body the whole body
     */
    record Answered(int status, String contentType, byte[] body) implements ServiceAnswer {}

    /**
     * There is no answer.
     *
     * @param failure what the caller is told
     */
    record Failed(Failure failure) implements ServiceAnswer {}
}
