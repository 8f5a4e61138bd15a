package org.dotterelcourse.gateway.edge;

import java.io.ByteArrayOutputStream;

/** Puts a request's body together, up to a limit. */
final class BodyCollector {
    private final int most;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

    BodyCollector(int most) {
        this.most = most;
    }

    /**
     * Adds a piece.
     *
     * @throws TooLargeException if the body is longer than the limit now
     */
    void add(byte[] piece) {
        if (bytes.size() + piece.length > most) {
            throw new TooLargeException(most);
        }
        bytes.writeBytes(piece);
    }

    byte[] bytes() {
        return bytes.toByteArray();
    }
}
