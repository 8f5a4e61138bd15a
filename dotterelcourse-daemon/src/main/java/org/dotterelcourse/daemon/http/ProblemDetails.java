package org.dotterelcourse.daemon.http;

import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.daemon.dispatch.Failure;

/** Writes failures as problem details, after RFC 9457. */
public final class ProblemDetails {
    /** The media type. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper JSON = new ObjectMapper();

    private ProblemDetails() {}

    /**
     * Writes a failure.
     *
     * @param failure what the caller is told
     * @param requestId the request's id, empty if it has none
     * @return JSON
     */
    public static String json(Failure failure, String requestId) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("type", "about:blank");
        problem.put("title", failure.title());
        problem.put("status", failure.status());
        problem.put("detail", failure.detail());
        problem.put("outcome", failure.outcome().word());
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
     * When to come back, for the header of that name.
     *
     * @param failure what the caller is told, with a time to come back
     * @return whole seconds, rounded up, at least 1
     */
    public static long retryAfterSeconds(Failure failure) {
        long second = TimeUnit.SECONDS.toNanos(1);
        return Math.max(1, (failure.retryAfterNanos() + second - 1) / second);
    }
}
