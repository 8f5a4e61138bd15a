package org.dotterelcourse.daemon.upstream;

import java.time.Duration;

/**
 * One try of a call to a plain service at one worker.
 *
 * @param address the worker's IP number and port
 * @param requestId passed on to the worker
 * @param method the HTTP method
 * @param path path and query, with the leading slash
 * @param contentType the body's type
 * @param body the whole body
 * @param pooled whether it may go over a pooled connection; else it gets one of its own
 * @param timeout from sending to the whole answer
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
