package org.dotterelcourse.gateway.forward;

/** A worker gave no answer, or not the whole of one. */
final class SendFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Makes a failure.
     *
     * @param sent whether anything of the request was sent
     * @param cause what broke
     */
    SendFailure(boolean sent, Throwable cause) {
        super(cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage(), cause, false, false);
        this.sent = sent;
    }

    boolean sent() {
        return sent;
    }
}
