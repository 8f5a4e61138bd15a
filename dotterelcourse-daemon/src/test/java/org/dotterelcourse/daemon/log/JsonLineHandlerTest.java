package org.dotterelcourse.daemon.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jboss.logging.MDC;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

final class JsonLineHandlerTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final JsonLineHandler handler = new JsonLineHandler(output);

    @Test
    void recordIsWrittenAsOneLineOfValidJson() throws IOException {
        LogRecord logRecord = newRecord("a \"quoted\" text\nof two lines, é");
        logRecord.setInstant(Instant.parse("2026-12-03T04:00:00.5Z"));

        handler.publish(logRecord);

        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text.indexOf('\n')).isEqualTo(text.length() - 1);
        JsonNode line = new ObjectMapper().readTree(text);
        assertThat(line.path("message").asText()).isEqualTo("a \"quoted\" text\nof two lines, é");
        assertThat(line.path("timestamp").asText()).isEqualTo("2026-12-03T04:00:00.500Z");
        assertThat(line.path("level").asText()).isEqualTo("WARNING");
        assertThat(line.path("loggerName").asText()).isEqualTo("a.logger");
        assertThat(line.path("threadName").asText())
                .isEqualTo(Thread.currentThread().getName());
        assertThat(line.has("stackTrace")).isFalse();
    }

    @Test
    void exceptionIsWrittenWithItsStackTraceInTheSameLine() throws IOException {
        LogRecord logRecord = newRecord("failed");
        logRecord.setThrown(new IllegalStateException("the cause"));

        handler.publish(logRecord);

        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text.lines()).hasSize(1);
        assertThat(new ObjectMapper().readTree(text).path("stackTrace").asText())
                .contains("IllegalStateException: the cause")
                .contains("JsonLineHandlerTest");
    }

    /**
     * Guards against losing the diagnostic context: operators search the log for the id of a request, which is only in the
     * context of its line.
     */
    @Test
    void diagnosticContextOfTheThreadIsWritten() throws IOException {
        MDC.put("request", "id-1");
        MDC.put("status", 503);
        try {
            handler.publish(newRecord("request ended"));
        } finally {
            MDC.clear();
        }
        handler.publish(newRecord("another"));

        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        JsonNode context = new ObjectMapper().readTree(lines.get(0)).path("mdc");
        assertThat(context.path("request").asText()).isEqualTo("id-1");
        assertThat(context.path("status").asText()).isEqualTo("503");
        assertThat(new ObjectMapper().readTree(lines.get(1)).has("mdc")).isFalse();
    }

    /** Guards against a text, for example a path or an id sent by a client, that makes its line invalid JSON. */
    @Test
    void everyCharacterIsReadBackUnchanged() throws IOException {
        StringBuilder text = new StringBuilder("\u2028\uD83D\uDE00\u00E9");
        for (char next = 0; next < 0x100; next++) {
            text.append(next);
        }
        MDC.put("reason", text.toString());
        try {
            handler.publish(newRecord(text.toString()));
        } finally {
            MDC.clear();
        }

        JsonNode line = new ObjectMapper().readTree(output.toString(StandardCharsets.UTF_8));
        assertThat(line.path("message").asText()).isEqualTo(text.toString());
        assertThat(line.path("mdc").path("reason").asText()).isEqualTo(text.toString());
    }

    private static LogRecord newRecord(String message) {
        LogRecord logRecord = new LogRecord(Level.WARNING, message);
        logRecord.setLoggerName("a.logger");
        return logRecord;
    }
}
