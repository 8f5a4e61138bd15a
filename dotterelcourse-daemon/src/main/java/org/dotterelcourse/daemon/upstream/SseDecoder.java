package org.dotterelcourse.daemon.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Incremental decoder of server-sent events, according to "Interpreting an event stream" in the HTML standard. It
 * returns only the {@code data} fields and ignores comments, other fields and events without data.
 */
final class SseDecoder {
    /** Bounds memory use. An engine's event holds one token, so a line of this length is a fault of the sender. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final String DATA_FIELD = "data:";

    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    /**
     * Decodes the next bytes of the stream.
     *
     * @param bytes the next bytes; all of them are consumed, and the buffer is not released
     * @return the data of each event completed by these bytes, in stream order
     * @throws IllegalStateException if a line exceeds the maximum length
     */
    List<String> decode(ByteBuf bytes) {
        List<String> events = new ArrayList<>();
        while (bytes.isReadable()) {
            byte next = bytes.readByte();
            if (next == '\n') {
                completeLine(events);
            } else {
                append(next);
            }
        }
        return events;
    }

    private void append(byte next) {
        if (lineBuffer.size() >= MAX_LINE_BYTES) {
            throw new IllegalStateException("line of the event stream exceeds " + MAX_LINE_BYTES + " bytes");
        }
        lineBuffer.write(next);
    }

    private void completeLine(List<String> events) {
        String text = lineBuffer.toString(StandardCharsets.UTF_8);
        lineBuffer.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            completeEvent(events);
        } else if (text.startsWith(DATA_FIELD)) {
            appendData(text.substring(DATA_FIELD.length()));
        }
    }

    private void appendData(String value) {
        if (data.length() > 0) {
            data.append('\n');
        }
        data.append(value.startsWith(" ") ? value.substring(1) : value);
    }

    private void completeEvent(List<String> events) {
        if (data.length() > 0) {
            events.add(data.toString());
            data.setLength(0);
        }
    }
}
