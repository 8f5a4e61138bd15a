package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A worker's answer with its whole body.
 *
 * @param status its status
 * @param headers its headers
 * @param body its body
 */
record WholeAnswer(int status, HttpHeaders headers, byte[] body) {
    private static final int FIRST_FAILURE = 500;

    boolean failed() {
        return status >= FIRST_FAILURE;
    }
}
