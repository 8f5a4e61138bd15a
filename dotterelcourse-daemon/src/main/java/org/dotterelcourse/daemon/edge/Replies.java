package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.dispatch.Outcome;
import org.dotterelcourse.daemon.http.ProblemDetails;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Sends what is the same for every kind of request. */
final class Replies {
    static final String OUTCOME = "X-Outcome";
    static final String REQUEST_ID = "X-Request-Id";
    static final String REQUEST_CLASS = "X-Request-Class";

    private Replies() {}

    static Mono<Void> problem(HttpServerResponse response, Failure failure, String requestId) {
        response.status(failure.status());
        response.header(OUTCOME, failure.outcome().label());
        if (failure.retryAfterNanos() > 0) {
            response.header("Retry-After", Long.toString(ProblemDetails.retryAfterSeconds(failure)));
        }
        byte[] body = ProblemDetails.json(failure, requestId).getBytes(StandardCharsets.UTF_8);
        return bytes(response, ProblemDetails.MEDIA_TYPE, body);
    }

    static Mono<Void> answered(HttpServerResponse response, int status, String contentType, byte[] body) {
        response.status(status);
        response.header(OUTCOME, new Outcome.Answered().label());
        return bytes(response, contentType, body);
    }

    static Mono<Void> bytes(HttpServerResponse response, String contentType, byte[] body) {
        response.header("Content-Type", contentType);
        response.header("Content-Length", Integer.toString(body.length));
        return response.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .then();
    }
}
