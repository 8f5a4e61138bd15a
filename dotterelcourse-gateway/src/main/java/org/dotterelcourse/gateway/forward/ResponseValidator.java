package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Checks whether a response on a worker's connection is the worker's response to the request that was sent there. */
final class ResponseValidator {
    private final Dialect dialect;

    ResponseValidator(Dialect dialect) {
        this.dialect = dialect;
    }

    /** Returns whether the headers show that a worker sent the response, and that it belongs to the request. */
    boolean isFromWorker(Call call, StreamedResponse response) {
        return dialect.hasWorkerStamp(response.headers()) && matchesRequest(call, response.headers());
    }

    /** Closes the connection after a response to another request, because more such responses may follow. */
    void closeUnlessFromWorker(Call call, StreamedResponse response) {
        if (!isFromWorker(call, response)) {
            response.close().run();
        }
    }

    /** Returns whether the response has the id of the request, whoever sent it. */
    boolean matchesRequest(Call call, HttpHeaders headers) {
        return dialect.requestId(headers).equals(call.attributes().id());
    }

    /** Returns whether the response is a successful stream that can be passed on as it arrives. */
    boolean isStreamable(Call call, StreamedResponse response) {
        return call.attributes().route().isStreaming()
                && isFromWorker(call, response)
                && response.status() / 100 == 2
                && !isEncoded(response.headers());
    }

    /** Classifies an attempt by the worker's complete response. */
    AttemptResult classify(Call call, BufferedResponse response) {
        if (!matchesRequest(call, response.headers())) {
            return new AttemptResult.Unknown("response has the id of another request");
        }
        if (dialect.isNotExecuted(response.status(), response.headers())) {
            return new AttemptResult.NotExecuted("refused with " + response.status(), true);
        }
        if (!dialect.hasWorkerStamp(response.headers()) || isEncoded(response.headers())) {
            return new AttemptResult.Unknown("response was not sent by a worker");
        }
        if (NotExecutedStatuses.contains(response.status())) {
            return new AttemptResult.Unknown("rejected without confirmation that the request was not executed");
        }
        return new AttemptResult.Responded(response);
    }

    /** Requests ask for unencoded bodies, so a response with a content encoding was not sent by a worker. */
    private static boolean isEncoded(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONTENT_ENCODING);
    }
}
