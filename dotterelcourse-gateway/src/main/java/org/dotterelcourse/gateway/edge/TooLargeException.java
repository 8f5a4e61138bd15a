package org.dotterelcourse.gateway.edge;

/** A request's body is longer than the published limit. */
final class TooLargeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    TooLargeException(int most) {
        super("the body is longer than " + most + " bytes", null, false, false);
    }
}
