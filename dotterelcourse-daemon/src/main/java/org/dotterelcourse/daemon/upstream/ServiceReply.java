package org.dotterelcourse.daemon.upstream;

/** The result of a call to a plain service. */
public sealed interface ServiceReply {
    /**
     * The service responded. The response is returned to the client unchanged, whatever its status.
     *
     * @param status the HTTP status code
     * @param contentType the content type of the body
     * @param body the complete response body
     */
    record Answered(int status, String contentType, byte[] body) implements ServiceReply {}

    /**
     * The call failed without a complete response.
     *
     * @param failure the cause, and whether the call may have run
     */
    record Failed(UpstreamFailure failure) implements ServiceReply {}
}
