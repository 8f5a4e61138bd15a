package org.dotterelcourse.gateway.forward;

/** Thrown when a stream is still in progress at the deadline of its request, or when the process ends. */
final class StreamTimeoutException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StreamTimeoutException(String message) {
        super(message, null, false, false);
    }
}
