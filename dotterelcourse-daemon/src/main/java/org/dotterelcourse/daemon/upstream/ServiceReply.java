package org.dotterelcourse.daemon.upstream;

/** How a call to a plain service ended. */
public sealed interface ServiceReply {
    /**
     * The service answered; the answer is passed back as it is, whatever its status.
     *
     * @param status the HTTP status
     * @param contentType the body's type
     * @param body the whole body
     */
    record Answered(int status, String contentType, byte[] body) implements ServiceReply {}

    /**
     * There is no answer.
     *
     * @param failure what happened
     */
    record Failed(UpstreamFailure failure) implements ServiceReply {}
}
