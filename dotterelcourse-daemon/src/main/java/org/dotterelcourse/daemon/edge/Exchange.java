package org.dotterelcourse.daemon.edge;

import io.netty.handler.codec.http.HttpHeaders;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * One HTTP request with its response.
 *
 * @param id the request's id
 * @param arrivalNanos when it came
 * @param request what the caller sent
 * @param response what the caller gets
 */
record Exchange(String id, long arrivalNanos, HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers() {
        return request.requestHeaders();
    }
}
