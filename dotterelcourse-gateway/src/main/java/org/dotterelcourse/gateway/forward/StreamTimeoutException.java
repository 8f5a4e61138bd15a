package org.dotterelcourse.gateway.forward;

/** A stream was still under way when its time was up. */
final class StreamTimeoutException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StreamTimeoutException() {
        super("the stream has outlasted its time", null, false, false);
    }
}
