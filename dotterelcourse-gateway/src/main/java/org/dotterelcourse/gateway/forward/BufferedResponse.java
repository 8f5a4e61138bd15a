package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A worker's response whose body was received completely.
 *
 * @param status the HTTP status code
 * @param headers the response headers
 * @param body the complete body
 */
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {
    private static final int MIN_SERVER_ERROR = 500;

    boolean isServerError() {
        return status >= MIN_SERVER_ERROR;
    }
}
