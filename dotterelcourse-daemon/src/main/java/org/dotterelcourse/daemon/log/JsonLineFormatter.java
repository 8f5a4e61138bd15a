package org.dotterelcourse.daemon.log;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.jboss.logging.MDC;

/** Writes a log record as an object on one line, by a generator of Jackson. */
final class JsonLineFormatter extends Formatter {
    private final JsonFactory json = new JsonFactory();

    @Override
    public String format(LogRecord entry) {
        StringWriter line = new StringWriter();
        try (JsonGenerator object = json.createGenerator(line)) {
            object.writeStartObject();
            object.writeStringField("timestamp", entry.getInstant().toString());
            object.writeNumberField("sequence", entry.getSequenceNumber());
            object.writeStringField("level", entry.getLevel().getName());
            object.writeStringField("loggerName", entry.getLoggerName());
            // The record knows its thread by number only; handlers run on the thread that logs.
            object.writeStringField("threadName", Thread.currentThread().getName());
            object.writeStringField("message", formatMessage(entry));
            writeContext(object);
            if (entry.getThrown() != null) {
                object.writeStringField("stackTrace", stackTrace(entry.getThrown()));
            }
            object.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a line in memory can't be written", e);
        }
        return line.append('\n').toString();
    }

    /** What the code that logs has said of its work, such as a request's id and outcome: it holds for its thread. */
    private static void writeContext(JsonGenerator object) throws IOException {
        Map<String, Object> context = MDC.getMap();
        if (context == null || context.isEmpty()) {
            return;
        }
        object.writeObjectFieldStart("mdc");
        for (Map.Entry<String, Object> each : context.entrySet()) {
            object.writeStringField(each.getKey(), String.valueOf(each.getValue()));
        }
        object.writeEndObject();
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
