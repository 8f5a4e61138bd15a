package org.dotterelcourse.coordination.membership;

/** Estimates the encoded size of an update from above, so that each message fits into one datagram. */
final class UpdateSize {

    /** Upper bound for numbers, address, state and field tags. */
    private static final int FIXED_BYTES = 86;

    private UpdateSize() {}

    static int of(Update update) {
        Payload payload = update.payload();
        return FIXED_BYTES
                + update.id().name().length()
                + payload.clientAddress().length()
                + payload.dataCentre().length()
                + payload.region().length();
    }
}
