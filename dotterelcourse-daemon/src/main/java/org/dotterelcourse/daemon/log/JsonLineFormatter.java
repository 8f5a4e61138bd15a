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

/** Formats each log record as a JSON object on one line. */
final class JsonLineFormatter extends Formatter {
    private final JsonFactory json = new JsonFactory();

    @Override
    public String format(LogRecord logRecord) {
        StringWriter line = new StringWriter();
        try (JsonGenerator object = json.createGenerator(line)) {
            object.writeStartObject();
            object.writeStringField("timestamp", logRecord.getInstant().toString());
            object.writeNumberField("sequence", logRecord.getSequenceNumber());
            object.writeStringField("level", logRecord.getLevel().getName());
            object.writeStringField("loggerName", logRecord.getLoggerName());
            // A record holds only the number of its thread; handlers run on the thread that logs.
            object.writeStringField("threadName", Thread.currentThread().getName());
            object.writeStringField("message", formatMessage(logRecord));
            writeContext(object);
            if (logRecord.getThrown() != null) {
                object.writeStringField("stackTrace", stackTrace(logRecord.getThrown()));
            }
            object.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode a log record as JSON", e);
        }
        return line.append('\n').toString();
    }

    /** Writes the diagnostic context of the current thread, such as the id and outcome of a request. */
    private static void writeContext(JsonGenerator object) throws IOException {
        Map<String, Object> context = MDC.getMap();
        if (context == null || context.isEmpty()) {
            return;
        }
        object.writeObjectFieldStart("mdc");
        for (Map.Entry<String, Object> item : context.entrySet()) {
            object.writeStringField(item.getKey(), String.valueOf(item.getValue()));
        }
        object.writeEndObject();
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
