package org.dotterelcourse.daemon.http.exchange;

import java.io.IOException;

/** Signals that what was received is not the response to the request in flight, which may have been executed. */
public final class InvalidResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidResponseException(String message) {
        super(message);
    }

    static InvalidResponseException of(ResponseFault.Kind kind, String detail) {
        String problem =
                switch (kind) {
                    case INVALID_HEAD -> "has an invalid head";
                    case JOINED_HEADS -> "has two heads in one";
                    case UNKNOWN_FRAMING -> "has an unknown framing";
                    case FOREIGN_RESPONSE -> "is for another request";
                    default -> "is not valid";
                };
        return new InvalidResponseException("response " + problem + ": " + detail);
    }

    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
