package org.dotterelcourse.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes each log record as one line, immediately and with a single call, so that lines of threads don't interleave. */
public final class JsonLineHandler extends Handler {
    private final JsonLineFormatter formatter = new JsonLineFormatter();
    private final OutputStream output;

    /** Creates a handler that writes to standard error. */
    public JsonLineHandler() {
        this(new FileOutputStream(FileDescriptor.err));
    }

    JsonLineHandler(OutputStream output) {
        this.output = output;
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!isLoggable(logRecord)) {
            return;
        }
        byte[] line = formatter.format(logRecord).getBytes(StandardCharsets.UTF_8);
        synchronized (output) {
            try {
                output.write(line);
            } catch (IOException e) {
                reportError("can't write a log record; it is lost", e, ErrorManager.WRITE_FAILURE);
            }
        }
    }

    @Override
    public void flush() {
        // Records are written immediately; there is nothing to flush.
    }

    @Override
    public void close() {
        // Standard error belongs to the process and stays open.
    }
}
