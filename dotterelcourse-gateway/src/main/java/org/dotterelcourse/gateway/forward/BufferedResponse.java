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

    /** Limits the memory that a worker can take which sends bytes without end. */
    private static final int MAX_BODY_BYTES = 8 << 20;

    boolean isServerError() {
        return status >= MIN_SERVER_ERROR;
    }

    /**
     * Receives the body of a response. The connection is closed if the body exceeds the limit; the result is an error of type
     * {@link WorkerConnectionException} then, since the worker has not sent a response that can be passed on.
     */
    static Mono<BufferedResponse> collect(StreamedResponse response) {
        return response.body()
                .collect(ByteArrayOutputStream::new, BufferedResponse::append)
                .map(bytes -> new BufferedResponse(response.status(), response.headers(), bytes.toByteArray()));
    }

    private static void append(ByteArrayOutputStream body, byte[] bytes) {
        if (body.size() + bytes.length > MAX_BODY_BYTES) {
            throw new WorkerConnectionException(
                    true, new IllegalStateException("body exceeds the limit of " + MAX_BODY_BYTES + " bytes"));
        }
        body.writeBytes(bytes);
    }

    /** Returns this response as the reply to the client. */
    Reply toReply() {
        return new Reply.Buffered(status, headers, body);
    }
}
