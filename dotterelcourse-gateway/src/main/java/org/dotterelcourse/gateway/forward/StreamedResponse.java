package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/**
 * A worker's response whose headers have arrived and whose body is still to be received.
 *
 * @param status the HTTP status code
 * @param headers the response headers
 * @param body the body; completes without an error only if it is complete, and closes the connection when cancelled
 * @param share the memory of the response, which whoever receives the body has to close
 * @param close closes the connection; does nothing if it is already closed
 */
record StreamedResponse(
        int status, HttpHeaders headers, Flux<byte[]> body, ResponseMemory.Share share, Runnable close) {
    /** Returns whether the body ends with the connection, so that its end alone does not show that it is complete. */
    boolean endsWithConnection() {
        return !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
