package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;

/** What a client is answered. */
public sealed interface Reply {
    /**
     * The whole answer of a worker.
     *
     * @param status the worker's status
     * @param headers the worker's headers
     * @param body the worker's body
     */
    record Whole(int status, HttpHeaders headers, byte[] body) implements Reply {}

    /**
     * A worker's answer that is passed on while it comes.
     *
     * @param status the worker's status
     * @param headers the worker's headers
     * @param events whole events; an error means that the stream broke, and its client must see that
     */
    record Stream(int status, HttpHeaders headers, Publisher<byte[]> events) implements Reply {}

    /**
     * The router's own answer.
     *
     * @param answer the answer
     */
    record Own(OwnAnswer answer) implements Reply {}
}
