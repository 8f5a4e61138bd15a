package org.dotterelcourse.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a byte stream of server-sent events into complete events, by the rules of the WHATWG HTML standard, 9.2.6: an
 * event ends with an empty line, and a line ends with a line feed that may follow a carriage return. A worker may stop in
 * the middle of an event. If the incomplete event were passed on, the client would join it with the first event of the
 * worker that resumes the stream.
 */
final class EventFramer {
    /** Limits the memory that a worker can take which sends an event without end. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream(0);
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
     * @param bytes the bytes, split at any position; must not be changed later, because an event may share them
     * @return the events that these bytes complete
     */
    List<Event> append(byte[] bytes) {
        List<Event> events = List.of();
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            byte next = bytes[i];
            if (next == '\n') {
                if (lineLength == 0 && hasLines) {
                    Event event = completeEvent(bytes, start, i + 1);
                    start = i + 1;
                    // Most packets complete one event.
                    if (events.isEmpty()) {
                        events = start == bytes.length ? List.of(event) : new ArrayList<>(List.of(event));
                    } else {
                        events.add(event);
                    }
                }
                lineLength = 0;
            } else if (next != '\r') {
                lineLength++;
                hasLines = true;
            }
        }
        pending.write(bytes, start, bytes.length - start);
        return events;
    }

    /** Returns the bytes of the incomplete event that are kept. */
    int incompleteBytes() {
        return pending.size();
    }

    /**
     * Returns whether the incomplete event exceeds the limit.
     *
     * @return true if the stream must be given up
     */
    boolean isTooLong() {
        return pending.size() > MAX_EVENT_BYTES;
    }

    /**
     * Returns whether the stream is between two events.
     *
     * @return false if an event has begun and is not complete
     */
    boolean isAtEventBoundary() {
        return !hasLines;
    }

    private Event completeEvent(byte[] bytes, int start, int end) {
        hasLines = false;
        byte[] event;
        if (pending.size() > 0) {
            pending.write(bytes, start, end - start);
            event = pending.toByteArray();
            pending.reset();
        } else {
            event = start == 0 && end == bytes.length ? bytes : Arrays.copyOfRange(bytes, start, end);
        }
        return new Event(event, lastId(event));
    }

    /** Returns the value of the last id field, without surrounding white space. */
    private static String lastId(byte[] event) {
        String id = "";
        int start = 0;
        for (int i = 0; i < event.length; i++) {
            if (event[i] == '\n') {
                if (hasIdField(event, start, i)) {
                    int valueStart = start + ID_FIELD.length;
                    id = new String(event, valueStart, i - valueStart, StandardCharsets.UTF_8).trim();
                }
                start = i + 1;
            }
        }
        return id;
    }

    private static boolean hasIdField(byte[] event, int start, int end) {
        int fieldEnd = start + ID_FIELD.length;
        return fieldEnd <= end && Arrays.equals(event, start, fieldEnd, ID_FIELD, 0, ID_FIELD.length);
    }
}
