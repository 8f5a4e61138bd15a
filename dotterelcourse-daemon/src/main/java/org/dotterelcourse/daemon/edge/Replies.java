package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.dispatch.Outcome;
import org.dotterelcourse.daemon.http.ProblemDetails;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Sends the responses and headers that all routes have in common. */
final class Replies {
    static final String OUTCOME_HEADER = "X-Outcome";
    static final String REQUEST_ID_HEADER = "X-Request-Id";
    static final String REQUEST_CLASS_HEADER = "X-Request-Class";

    private Replies() {}

    /**
     * Sends a failure as problem details, with its outcome and, if it has one, its retry delay as headers.
     *
     * @param response the response to send
     * @param failure the failure, which gives the HTTP status
     * @param requestId the request's id, repeated in the body
     * @return completes when the response has been sent
     */
    static Mono<Void> sendProblem(HttpServerResponse response, Failure failure, String requestId) {
        response.status(failure.status());
        response.header(OUTCOME_HEADER, failure.outcome().label());
        if (failure.retryAfterNanos() > 0) {
            response.header("Retry-After", Long.toString(ProblemDetails.retryAfterSeconds(failure)));
        }
        byte[] body = ProblemDetails.json(failure, requestId).getBytes(StandardCharsets.UTF_8);
        return sendBody(response, ProblemDetails.MEDIA_TYPE, body);
    }

    /**
     * Sends an upstream's answer and marks the request as answered.
     *
     * @param response the response to send
     * @param status the HTTP status
     * @param contentType the media type of the body
     * @param body the full body
     * @return completes when the response has been sent
     */
    static Mono<Void> sendAnswer(HttpServerResponse response, int status, String contentType, byte[] body) {
        response.status(status);
        response.header(OUTCOME_HEADER, new Outcome.Answered().label());
        return sendBody(response, contentType, body);
    }

    /**
     * Sends a body under the status and headers already set on the response.
     *
     * @param response the response to send
     * @param contentType the media type of the body
     * @param body the full body
     * @return completes when the response has been sent
     */
    static Mono<Void> sendBody(HttpServerResponse response, String contentType, byte[] body) {
        response.header("Content-Type", contentType);
        response.header("Content-Length", Integer.toString(body.length));
        return response.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .then();
    }
}
