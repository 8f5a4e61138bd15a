package org.dotterelcourse.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream of server-sent events into complete events, by the rules of the WHATWG HTML standard, 9.2.6: an
 * event ends with an empty line, and a line ends with a line feed that may follow a carriage return. A worker may stop in
 * the middle of an event. If the incomplete event were passed on, the client would join it with the first event of the
 * worker that resumes the stream.
 */
final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineLength;
    private boolean hasLines;

    /**
     * A complete event.
     *
     * @param bytes the event's bytes, including the empty line at its end
     * @param id the event's id, or empty if it has none
     */
    record Event(byte[] bytes, String id) {}

    /**
     * Appends the next bytes of the stream.
     *
     * @param bytes the bytes, split at any position
     * @return the events that these bytes complete
     */
    List<Event> append(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte next : bytes) {
            pending.write(next);
            if (next == '\n') {
                if (lineLength == 0 && hasLines) {
                    events.add(completeEvent());
                }
                lineLength = 0;
            } else if (next != '\r') {
                lineLength++;
                hasLines = true;
            }
        }
        return events;
    }

    /**
     * Returns whether the stream is between two events.
     *
     * @return false if an event has begun and is not complete
     */
    boolean isAtEventBoundary() {
        return !hasLines;
    }

    private Event completeEvent() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        hasLines = false;
        String id = "";
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                id = line.substring(ID_FIELD.length()).trim();
            }
        }
        return new Event(bytes, id);
    }
}
