package org.dotterelcourse.gateway.forward;

import java.io.ByteArrayOutputStream;

import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Mono;

/**
 * A worker's response whose body was received completely.
 *
 * @param status the HTTP status code
 * @param headers the response headers
 * @param body the complete body
 */
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {
    private static final int MIN_SERVER_ERROR = 500;

    boolean isServerError() {
        return status >= MIN_SERVER_ERROR;
    }

    /** Receives the body of a response. */
    static Mono<BufferedResponse> collect(StreamedResponse response) {
        return response.body()
                .collect(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
                .map(bytes -> new BufferedResponse(response.status(), response.headers(), bytes.toByteArray()));
    }

    /** Returns this response as the reply to the client. */
    Reply toReply() {
        return new Reply.Buffered(status, headers, body);
    }
}
