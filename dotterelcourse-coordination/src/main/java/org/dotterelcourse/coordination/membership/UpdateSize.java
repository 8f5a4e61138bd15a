package org.dotterelcourse.coordination.membership;

/** Upper estimate of a statement's encoded size, so that a message stays within one datagram. */
final class UpdateSize {

    /** Numbers, address, state and field tags. */
    private static final int FIXED = 80;

    private UpdateSize() {}

    static int of(Update update) {
        Payload payload = update.payload();
        return FIXED
                + update.id().name().length()
                + payload.clientAddress().length()
                + payload.dataCentre().length()
                + payload.region().length();
    }
}
