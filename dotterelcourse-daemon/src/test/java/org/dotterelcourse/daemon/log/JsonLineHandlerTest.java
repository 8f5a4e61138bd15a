package org.dotterelcourse.daemon.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

final class JsonLineHandlerTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final JsonLineHandler handler = new JsonLineHandler(output);

    @Test
    void aRecordIsOneLineThatProgramsCanRead() throws IOException {
        LogRecord entry = entry("a \"quoted\" text\nof two lines, é");
        entry.setInstant(Instant.parse("2026-12-03T04:00:00.5Z"));

        handler.publish(entry);

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
    void anErrorIsToldWithItsStackTraceInTheSameLine() throws IOException {
        LogRecord entry = entry("failed");
        entry.setThrown(new IllegalStateException("the cause"));

        handler.publish(entry);

        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text.lines()).hasSize(1);
        assertThat(new ObjectMapper().readTree(text).path("stackTrace").asText())
                .contains("IllegalStateException: the cause")
                .contains("JsonLineHandlerTest");
    }

    private static LogRecord entry(String message) {
        LogRecord entry = new LogRecord(Level.WARNING, message);
        entry.setLoggerName("a.logger");
        return entry;
    }
}
