package org.dotterelcourse.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of server-sent events into whole events, by the rules of the WHATWG's HTML standard, 9.2.6: an event
 * ends with an empty line; lines end with a line feed, alone or after a carriage return. A worker may stop in the
 * middle of an event; passed on, that piece would be joined with the beginning of the next run's first event.
 */
final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineLength;
    private boolean hasLines;

    /**
     * One event.
     *
     * @param bytes its bytes with the empty line at its end
     * @param id its id, empty if it has none
     */
    record Event(byte[] bytes, String id) {}

    /**
     * Takes bytes as they come.
     *
     * @param bytes the next bytes of the stream
     * @return the events that are whole now
     */
    List<Event> take(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte each : bytes) {
            pending.write(each);
            if (each == '\n') {
                if (lineLength == 0 && hasLines) {
                    events.add(event());
                }
                lineLength = 0;
            } else if (each != '\r') {
                lineLength++;
                hasLines = true;
            }
        }
        return events;
    }

    /**
     * Whether the stream stands between two events.
     *
     * @return false in the middle of one
     */
    boolean betweenEvents() {
        return !hasLines;
    }

    private Event event() {
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
