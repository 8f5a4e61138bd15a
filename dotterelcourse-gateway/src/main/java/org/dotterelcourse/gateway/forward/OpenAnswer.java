package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import reactor.core.publisher.Flux;

/**
 * A worker's answer whose body is still to come.
 *
 * @param status its status
 * @param headers its headers
 * @param body ends without an error only if the body is whole; cancelling it closes the connection
 * @param close closes the connection; does nothing if it is closed
 */
record OpenAnswer(int status, HttpHeaders headers, Flux<byte[]> body, Runnable close) {}
