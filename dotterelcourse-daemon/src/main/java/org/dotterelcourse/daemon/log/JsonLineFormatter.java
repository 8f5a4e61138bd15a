package org.dotterelcourse.daemon.log;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

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
            if (entry.getThrown() != null) {
                object.writeStringField("stackTrace", stackTrace(entry.getThrown()));
            }
            object.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a line in memory can't be written", e);
        }
        return line.append('\n').toString();
    }

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
