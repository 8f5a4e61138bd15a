package org.dotterelcourse.daemon.upstream;

import java.util.concurrent.TimeoutException;

import io.netty.handler.codec.http.HttpHeaders;

/** Classifies HTTP statuses and client exceptions by whether the call may have run on the worker. */
final class Failures {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private Failures() {}

    /**
     * Classifies an engine's response with a status other than 200.
     *
     * @param status the HTTP status code
     * @param headers the response headers; {@code X-Leaving: true} means that the engine accepts no more requests
     * @return the failure
     */
    static UpstreamFailure ofEngineStatus(int status, HttpHeaders headers) {
        if ("true".equals(headers.get("X-Leaving"))) {
            return new UpstreamFailure(UpstreamFailure.Kind.LEAVING, "the engine is leaving");
        }
        if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            return new UpstreamFailure(UpstreamFailure.Kind.REFUSED, "the engine refused with " + status);
        }
        return new UpstreamFailure(UpstreamFailure.Kind.BROKEN, "the engine answered " + status);
    }

    /**
     * Classifies an exception of the HTTP client.
     *
     * @param error the exception
     * @param sent whether the request may have been written to the connection, in part or completely
     * @return the failure; its kind is {@link UpstreamFailure.Kind#UNREACHABLE} if nothing was sent
     */
    static UpstreamFailure ofException(Throwable error, boolean sent) {
        String detail = error.getClass().getSimpleName();
        // If no byte was written, the worker cannot have received the request. Of an exception, only this flag can show
        // that the call did not run: its type does not say whether it was thrown before or after the write.
        if (!sent) {
            return new UpstreamFailure(UpstreamFailure.Kind.UNREACHABLE, "no connection: " + detail);
        }
        if (error instanceof TimeoutException) {
            return new UpstreamFailure(UpstreamFailure.Kind.SILENT, "nothing came for too long");
        }
        return new UpstreamFailure(UpstreamFailure.Kind.BROKEN, "the connection broke: " + detail);
    }
}
