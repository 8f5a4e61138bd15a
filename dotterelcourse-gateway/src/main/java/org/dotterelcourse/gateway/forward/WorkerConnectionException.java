package org.dotterelcourse.gateway.forward;

/** Thrown when the connection to a worker failed before its response was complete. */
final class WorkerConnectionException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean isSent;

    /**
     * Creates an exception with the message of its cause, or the cause's class name if there is no message.
     *
     * @param isSent whether any part of the request was sent
     * @param cause the error of the connection
     */
    WorkerConnectionException(boolean isSent, Throwable cause) {
        super(cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage(), cause, false, false);
        this.isSent = isSent;
    }

    boolean isSent() {
        return isSent;
    }
}
