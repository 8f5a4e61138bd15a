package org.dotterelcourse.daemon.edge;

import io.netty.handler.codec.http.HttpHeaders;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * One HTTP request with its response.
 *
 * @param id the request's id, given by the caller or generated
 * @param arrivalNanos monotonic time in nanoseconds at which the request arrived
 * @param request the caller's request
 * @param response the response to the caller
 */
record Exchange(String id, long arrivalNanos, HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers() {
        return request.requestHeaders();
    }
}
