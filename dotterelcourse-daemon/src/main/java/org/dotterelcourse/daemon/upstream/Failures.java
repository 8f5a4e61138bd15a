package org.dotterelcourse.daemon.upstream;

import java.util.concurrent.TimeoutException;

import io.netty.handler.codec.http.HttpHeaders;

/** Tells from a status or an exception whether a call can have run. */
final class Failures {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private Failures() {}

    /**
     * Judges an engine's answer other than 200.
     *
     * @param status the HTTP status
     * @param headers the answer's headers
     * @return what is known
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
     * Judges an exception.
     *
     * @param error what the client threw
     * @param sent whether the request may have been written, in part or whole
     * @return what is known
     */
    static UpstreamFailure ofException(Throwable error, boolean sent) {
        String detail = error.getClass().getSimpleName();
        // Whatever broke before the first byte was written, the worker can't have seen the request. This is the one
        // test that "not run" rests on: an exception's type alone doesn't tell on which side of the write it arose.
        if (!sent) {
            return new UpstreamFailure(UpstreamFailure.Kind.UNREACHABLE, "no connection: " + detail);
        }
        if (error instanceof TimeoutException) {
            return new UpstreamFailure(UpstreamFailure.Kind.SILENT, "nothing came for too long");
        }
        return new UpstreamFailure(UpstreamFailure.Kind.BROKEN, "the connection broke: " + detail);
    }
}
