package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;

/** The response to a client. */
public sealed interface Reply {
    /**
     * The complete response of a worker.
     *
     * @param status the worker's HTTP status code
     * @param headers the worker's response headers, hop-by-hop headers included
     * @param body the worker's complete response body
     */
    record Buffered(int status, HttpHeaders headers, byte[] body) implements Reply {}

    /**
     * A worker's event stream, passed on as it arrives.
     *
     * @param status the worker's HTTP status code
     * @param headers the worker's response headers, hop-by-hop headers included
     * @param events complete server-sent events as bytes; ends with an error if the stream broke, which must be visible
     *     to the client
     */
    record Streamed(int status, HttpHeaders headers, Publisher<byte[]> events) implements Reply {}

    /**
     * A response that the router generated itself.
     *
     * @param reply the status and reason to send
     */
    record Local(LocalReply reply) implements Reply {}
}
