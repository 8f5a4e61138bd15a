package org.dotterelcourse.gateway.forward;

/** Thrown when a stream is still in progress at the deadline of its request. */
final class StreamTimeoutException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StreamTimeoutException() {
        super("stream still in progress at the deadline", null, false, false);
    }
}
