package org.dotterelcourse.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes each record as one line, at once and in one call, so that lines of several threads don't mix. */
public final class JsonLineHandler extends Handler {
    private final JsonLineFormatter lines = new JsonLineFormatter();
    private final OutputStream output;

    /** Makes a handler that writes to the standard error output. */
    public JsonLineHandler() {
        this(new FileOutputStream(FileDescriptor.err));
    }

    JsonLineHandler(OutputStream output) {
        this.output = output;
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        byte[] line = lines.format(entry).getBytes(StandardCharsets.UTF_8);
        synchronized (output) {
            try {
                output.write(line);
            } catch (IOException e) {
                reportError("a log line is lost", e, ErrorManager.WRITE_FAILURE);
            }
        }
    }

    @Override
    public void flush() {
        // Nothing is kept back.
    }

    @Override
    public void close() {
        // The output is the process's own.
    }
}
