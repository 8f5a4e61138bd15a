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
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.jboss.logging.Logger;

/**
 * Keeps the most recent changes in memory for the operators' interface, and writes each change to the log and, if
 * configured, to a file of JSON lines. With deferral, changes that come together share lines of the log.
 */
public final class AuditTrail implements Service {
    /** The name under which the kernel registers this service. */
    public static final ServiceName<AuditTrail> NAME = new ServiceName<>("audit", AuditTrail.class);

    /**
     * Holds an hour's changes (about 700) many times over. Two days of 16,000 changes would not fit as text into the memory
     * of an entry VM.
     */
    private static final int MAX_EVENTS = 10_000;

    /** Changes in one line of the log, which then stays below 16 KB. */
    private static final int MAX_EVENTS_OF_LINE = 64;

    private static final Logger LOG = Logger.getLogger(AuditTrail.class);

    private final Clock clock;
    private final String file;
    private final JsonFactory json = new JsonFactory();
    private final Deque<AuditEvent> events = new ArrayDeque<>();
    private final Consumer<Runnable> deferral;
    private final List<AuditEvent> unwritten = new ArrayList<>();
    private long lastSequence;

    /**
     * Creates an empty audit trail.
     *
     * @param clock the wall clock that sets the time of events
     * @param file path of the audit file to append to, empty for none
     */
    public AuditTrail(Clock clock, String file) {
        this(clock, file, Runnable::run);
    }

    /**
     * Creates an empty audit trail that writes the log later. A process that joins a large fleet records some hundred
     * changes at once.
     *
     * @param clock the wall clock that sets the time of events
     * @param file path of the audit file to append to at once, empty for none
     * @param deferral runs a task when the process has time for it, on any thread
     */
    public AuditTrail(Clock clock, String file, Consumer<Runnable> deferral) {
        this.clock = clock;
        this.file = file;
        this.deferral = deferral;
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
            return List.of(
                    new StartupFailure(NAME.value(), "can't write the audit file " + file + ": " + e.getCause()));
        }
    }

    @Override
    public void stop() {
        writeLog();
    }

    /**
     * Records a change. If the audit file can't be written, an error is logged and the event is kept in memory.
     *
     * @param kind the kind of object that changed
     * @param subject name of the object that changed
     * @param cause reason for the change
     * @param before state before the change, empty if the object is new
     * @param after state after the change, empty if the object was removed
     */
    public synchronized void add(AuditEvent.Kind kind, String subject, String cause, String before, String after) {
        lastSequence++;
        AuditEvent event = new AuditEvent(lastSequence, clock.millis(), kind, subject, cause, before, after);
        events.addLast(event);
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
        if (!file.isEmpty()) {
            appendOrLog(toJson(List.of(event)));
        }
        unwritten.add(event);
        if (unwritten.size() == 1) {
            deferral.accept(this::writeLog);
        } else if (unwritten.size() >= MAX_EVENTS) {
            writeLog();
        }
    }

    private synchronized void writeLog() {
        for (int first = 0; first < unwritten.size(); first += MAX_EVENTS_OF_LINE) {
            int end = Math.min(unwritten.size(), first + MAX_EVENTS_OF_LINE);
            LOG.info("audit " + toJson(unwritten.subList(first, end)));
        }
        unwritten.clear();
    }

    /**
     * Returns the events after a sequence number, as far as they are still in memory.
     *
     * @param sequence the sequence number that returned events must exceed
     * @return the events, oldest first
     */
    public synchronized List<AuditEvent> eventsAfter(long sequence) {
        return events.stream().filter(event -> event.sequence() > sequence).toList();
    }

    /** Returns events as JSON objects, separated by spaces. */
    private String toJson(List<AuditEvent> written) {
        StringWriter buffer = new StringWriter();
        try (JsonGenerator generator = json.createGenerator(buffer)) {
            for (AuditEvent event : written) {
                writeObject(generator, event);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode an audit event as JSON", e);
        }
        return buffer.toString();
    }

    private static void writeObject(JsonGenerator object, AuditEvent event) throws IOException {
        object.writeStartObject();
        object.writeNumberField("sequence", event.sequence());
        object.writeNumberField("atMillis", event.atMillis());
        object.writeStringField("kind", event.kind().name());
        object.writeStringField("subject", event.subject());
        object.writeStringField("cause", event.cause());
        object.writeStringField("before", event.before());
        object.writeStringField("after", event.after());
        object.writeEndObject();
    }

    /** Logs a write error: a full or failed disk must not stop the daemon, and the event is in the log and in memory. */
    private void appendOrLog(String line) {
        try {
            append(line + "\n");
        } catch (UncheckedIOException e) {
            LOG.error("can't write to the audit file; the event is only in the log and in memory: " + file, e);
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
