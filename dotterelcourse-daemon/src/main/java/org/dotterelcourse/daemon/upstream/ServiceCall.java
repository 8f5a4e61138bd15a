package org.dotterelcourse.daemon.upstream;

import java.time.Duration;

/**
 * One attempt to call a plain service on one worker.
 *
 * @param address the worker's address as {@code IP:port}
 * @param requestId the request's identifier, sent to the worker in the {@code X-Request-Id} header
 * @param method the HTTP method
 * @param path the path and query, with the leading slash
 * @param contentType the content type of the body
 * @param body the complete request body
 * @param pooled whether the call may use a pooled connection; otherwise a new connection is opened for it
 * @param timeout the maximum time from subscription to the end of the response
 */
public record ServiceCall(
        String address,
        String requestId,
        String method,
        String path,
        String contentType,
        byte[] body,
        boolean pooled,
        Duration timeout) {}
