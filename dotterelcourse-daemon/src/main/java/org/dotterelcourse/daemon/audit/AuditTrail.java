package org.dotterelcourse.daemon.audit;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.jboss.logging.Logger;

/**
 * Keeps the newest changes in memory for the operators' interface, and writes each to the log and, if the settings name
 * one, to a file of JSON lines.
 */
public final class AuditTrail implements Service {
    /** The name that it is found by. */
    public static final ServiceName<AuditTrail> NAME = new ServiceName<>("audit", AuditTrail.class);

    /** Two days of 16,000 changes would not fit an entry VM's memory as text; an hour of them (700) does many times. */
    private static final int KEPT = 10_000;

    private static final Logger LOG = Logger.getLogger(AuditTrail.class);

    private final Clock clock;
    private final String file;
    private final JsonFactory json = new JsonFactory();
    private final Deque<AuditEvent> events = new ArrayDeque<>();
    private long lastSequence;

    /**
     * Makes an empty trail.
     *
     * @param clock the wall clock
     * @param file the path to append to, empty for none
     */
    public AuditTrail(Clock clock, String file) {
        this.clock = clock;
        this.file = file;
    }

    @Override
    public ServiceName<AuditTrail> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of();
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        if (file.isEmpty()) {
            return List.of();
        }
        try {
            append("");
            return List.of();
        } catch (UncheckedIOException e) {
            return List.of(new StartupFailure(NAME.value(), "can't write the audit file " + file + ": " + e.getCause()));
        }
    }

    @Override
    public void stop() {
        // Every event was written when it came; there is nothing to flush.
    }

    /**
     * Adds an event.
     *
     * @param kind what changed
     * @param subject which one
     * @param cause why
     * @param before what it was, empty if it is new
     * @param after what it is now, empty if it is gone
     */
    public synchronized void add(AuditEvent.Kind kind, String subject, String cause, String before, String after) {
        lastSequence++;
        AuditEvent event = new AuditEvent(lastSequence, clock.millis(), kind, subject, cause, before, after);
        events.addLast(event);
        if (events.size() > KEPT) {
            events.removeFirst();
        }
        String line = line(event);
        LOG.info("audit " + line);
        if (!file.isEmpty()) {
            appendOrLog(line);
        }
    }

    /**
     * The events that are still in memory.
     *
     * @param sequence only those with a higher sequence number
     * @return the events, oldest first
     */
    public synchronized List<AuditEvent> eventsAfter(long sequence) {
        return events.stream().filter(event -> event.sequence() > sequence).toList();
    }

    private String line(AuditEvent event) {
        StringWriter line = new StringWriter();
        try (JsonGenerator object = json.createGenerator(line)) {
            object.writeStartObject();
            object.writeNumberField("sequence", event.sequence());
            object.writeNumberField("atMillis", event.atMillis());
            object.writeStringField("kind", event.kind().name());
            object.writeStringField("subject", event.subject());
            object.writeStringField("cause", event.cause());
            object.writeStringField("before", event.before());
            object.writeStringField("after", event.after());
            object.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a line in memory can't be written", e);
        }
        return line.toString();
    }

    /** A full or lost disk must not stop the daemon: the event is in the log and in memory all the same. */
    private void appendOrLog(String line) {
        try {
            append(line + "\n");
        } catch (UncheckedIOException e) {
            LOG.error("the audit file can't be written: " + file, e);
        }
    }

    private void append(String text) {
        try {
            Files.writeString(
                    Path.of(file), text, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
