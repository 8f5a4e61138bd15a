package org.dotterelcourse.daemon.http;

import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.daemon.dispatch.Failure;

/** Encodes failures as problem details in JSON (RFC 9457). */
public final class ProblemDetails {
    /** Media type of problem details in JSON. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemDetails() {}

    /**
     * Encodes a failure.
     *
     * @param failure the failure to report to the caller
     * @param requestId id of the request, empty if it has none
     * @return the JSON text
     */
    public static String json(Failure failure, String requestId) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("type", "about:blank");
        problem.put("title", failure.title());
        problem.put("status", failure.status());
        problem.put("detail", failure.detail());
        problem.put("outcome", failure.outcome().label());
        if (!requestId.isEmpty()) {
            problem.put("requestId", requestId);
        }
        if (!failure.known().isEmpty()) {
            failure.known().forEach(problem.putArray("known")::add);
        }
        if (failure.retryAfterNanos() > 0) {
            problem.put("retryAfterSeconds", retryAfterSeconds(failure));
        }
        return problem.toString();
    }

    /**
     * Returns the value of the {@code Retry-After} header for a failure.
     *
     * @param failure the failure to report to the caller, with a retry delay
     * @return the delay in whole seconds, rounded up, at least 1
     */
    public static long retryAfterSeconds(Failure failure) {
        long secondNanos = TimeUnit.SECONDS.toNanos(1);
        return Math.max(1, (failure.retryAfterNanos() + secondNanos - 1) / secondNanos);
    }
}
