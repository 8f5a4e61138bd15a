package org.dotterelcourse.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IgnoredValueLogTest {
    private static final long SECOND = 1_000_000_000L;
    private static final WorkerStatement.IgnoredValue VALUE =
            new WorkerStatement.IgnoredValue("retry-after", "soon", "not a number");

    private final List<String> lines = new ArrayList<>();
    private final Logger logger = Logger.getLogger(IgnoredValueLog.class.getName());
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord logRecord) {
            lines.add(logRecord.getMessage());
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // Holds no resources.
        }
    };
    private final IgnoredValueLog log = new IgnoredValueLog();

    @BeforeEach
    void addHandler() {
        logger.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        logger.removeHandler(handler);
    }

    @Test
    void aLineNamesTheWorkerTheValueAndTheReason() {
        log.log("i-1", VALUE, 0);
        assertThat(lines).singleElement().asString().contains("i-1", "retry-after", "'soon'", "not a number");
    }

    @Test
    void aWorkerThatRepeatsItsValueIsLoggedOnceInTenSecondsWithACount() {
        for (long now = 0; now <= 10 * SECOND; now += SECOND) {
            log.log("i-1", VALUE, now);
        }
        log.log("i-2", VALUE, 10 * SECOND);
        assertThat(lines).hasSize(3);
        assertThat(lines.get(1)).contains("i-1").contains("9 more");
        assertThat(lines.get(2)).contains("i-2").contains("0 more");
    }

    @Test
    void aLongValueIsTruncated() {
        log.log("i-1", new WorkerStatement.IgnoredValue("server-limit", "9".repeat(8_000), "too long"), 0);
        assertThat(lines.get(0)).hasSizeLessThan(300);
    }
}
