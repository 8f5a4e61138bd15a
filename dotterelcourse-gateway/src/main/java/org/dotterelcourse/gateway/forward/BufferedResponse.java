package org.dotterelcourse.gateway.forward;

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
     *
     * @param response the response
     * @param holds of the request, which keeps the body until it is answered
     */
    static Mono<BufferedResponse> collect(StreamedResponse response, ResponseHolds holds) {
        ResponseMemory.Share share = response.share();
        holds.add(share);
        return response.body()
                .collect(() -> new BodyBuffer(share, MAX_BODY_BYTES), BodyBuffer::append)
                .map(body -> new BufferedResponse(response.status(), response.headers(), body.toByteArray()))
                .doOnError(error -> share.close())
                .doOnCancel(share::close);
    }

    /** Returns this response as the reply to the client. */
    Reply toReply() {
        return new Reply.Buffered(status, headers, body);
    }
}
