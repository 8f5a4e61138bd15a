package org.dotterelcourse.daemon.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Cuts a byte stream into the data of server-sent events, after the HTML standard's section "Interpreting an event
 * stream". Only {@code data} fields count; events without data, comments and other fields are passed over.
 */
final class SseDecoder {
    /** An engine's event holds one token; a line of a megabyte is a fault of the sender, not an event. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final String DATA = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    /**
     * Takes the next bytes.
     *
     * @param bytes read to their end, not released
     * @return the data of the events that end in these bytes
     * @throws IllegalStateException if a line is too long
     */
    List<String> decode(ByteBuf bytes) {
        List<String> events = new ArrayList<>();
        while (bytes.isReadable()) {
            byte next = bytes.readByte();
            if (next == '\n') {
                endLine(events);
            } else {
                append(next);
            }
        }
        return events;
    }

    private void append(byte next) {
        if (line.size() >= MAX_LINE_BYTES) {
            throw new IllegalStateException("a line of the event stream is longer than " + MAX_LINE_BYTES + " bytes");
        }
        line.write(next);
    }

    private void endLine(List<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            endEvent(events);
        } else if (text.startsWith(DATA)) {
            addData(text.substring(DATA.length()));
        }
    }

    private void addData(String value) {
        if (data.length() > 0) {
            data.append('\n');
        }
        data.append(value.startsWith(" ") ? value.substring(1) : value);
    }

    private void endEvent(List<String> events) {
        if (data.length() > 0) {
            events.add(data.toString());
            data.setLength(0);
        }
    }
}
