package org.dotterelcourse.daemon.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

import org.jboss.logging.MDC;

/**
 * Formats each log record as a JSON object on one line. Writes the text itself, because a JSON library's generator with
 * its buffers would be created for each line, and there is a line for each request.
 */
final class JsonLineFormatter extends Formatter {
    private static final int TYPICAL_LENGTH = 512;
    private static final char FIRST_UNESCAPED = ' ';
    private static final String HEXADECIMAL_DIGITS = "0123456789ABCDEF";

    @Override
    public String format(LogRecord logRecord) {
        Instant instant = logRecord.getInstant();
        StringBuilder line = new StringBuilder(TYPICAL_LENGTH);
        line.append("{\"timestamp\":\"").append(instant).append("\",\"sequence\":");
        line.append(logRecord.getSequenceNumber());
        appendField(line, "level", logRecord.getLevel().getName());
        appendField(line, "loggerName", logRecord.getLoggerName());
        // A record holds only the number of its thread; handlers run on the thread that logs.
        appendField(line, "threadName", Thread.currentThread().getName());
        appendField(line, "message", formatMessage(logRecord));
        appendContext(line);
        if (logRecord.getThrown() != null) {
            appendField(line, "stackTrace", stackTrace(logRecord.getThrown()));
        }
        return line.append("}\n").toString();
    }

    /** Appends the diagnostic context of the current thread, such as the id and outcome of a request. */
    private static void appendContext(StringBuilder line) {
        Map<String, Object> context = MDC.getMap();
        if (context == null || context.isEmpty()) {
            return;
        }
        line.append(",\"mdc\":");
        char separator = '{';
        for (Map.Entry<String, Object> item : context.entrySet()) {
            line.append(separator);
            appendText(line, item.getKey());
            line.append(':');
            appendText(line, String.valueOf(item.getValue()));
            separator = ',';
        }
        line.append('}');
    }

    private static void appendField(StringBuilder line, String name, String value) {
        line.append(",\"").append(name).append("\":");
        if (value == null) {
            line.append("null");
        } else {
            appendText(line, value);
        }
    }

    /** Appends a JSON string with the escapes that RFC 8259, 7, requires. */
    private static void appendText(StringBuilder line, String text) {
        line.append('"');
        int start = 0;
        for (int i = 0; i < text.length(); i++) {
            char next = text.charAt(i);
            if (next < FIRST_UNESCAPED || next == '"' || next == '\\') {
                line.append(text, start, i);
                appendEscaped(line, next);
                start = i + 1;
            }
        }
        line.append(text, start, text.length()).append('"');
    }

    private static void appendEscaped(StringBuilder line, char character) {
        switch (character) {
            case '"', '\\' -> line.append('\\').append(character);
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            case '\t' -> line.append("\\t");
            default ->
                line.append("\\u00")
                        .append(HEXADECIMAL_DIGITS.charAt(character >> 4))
                        .append(HEXADECIMAL_DIGITS.charAt(character & 0xf));
        }
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
