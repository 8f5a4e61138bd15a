package org.dotterelcourse.daemon.audit;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AuditTrailTest {
    private final List<String> lines = new ArrayList<>();
    private final List<Runnable> deferred = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord logRecord) {
            lines.add(logRecord.getMessage());
        }

        @Override
        public void flush() {
            // Records are kept in memory.
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    };

    @BeforeEach
    void collectLines() {
        Logger.getLogger(AuditTrail.class.getName()).addHandler(handler);
    }

    @AfterEach
    void stopCollecting() {
        Logger.getLogger(AuditTrail.class.getName()).removeHandler(handler);
    }

    /** Guards against a line of the log for each member and worker while a process starts and requests wait. */
    @Test
    void changesThatComeTogetherAreInMemoryAtOnceAndShareLinesOfTheLogLater() {
        AuditTrail trail = new AuditTrail(Clock.systemUTC(), "", deferred::add);
        addChanges(trail, 100);
        assertThat(trail.eventsAfter(0)).hasSize(100);
        assertThat(lines).isEmpty();
        assertThat(deferred).hasSize(1);
        deferred.get(0).run();
        assertThat(lines).hasSize(2).allMatch(line -> line.startsWith("audit {\"sequence\":"));
        assertThat(String.join("", lines)).contains("\"member-0\"").contains("\"member-99\"");
    }

    @Test
    void changesThatWaitAreWrittenWhenTheProcessEnds() {
        AuditTrail trail = new AuditTrail(Clock.systemUTC(), "", deferred::add);
        addChanges(trail, 1);
        trail.stop();
        assertThat(lines).hasSize(1);
        deferred.get(0).run();
        assertThat(lines).hasSize(1);
    }

    @Test
    void aTrailWithoutDeferralWritesALineForEachChangeAtOnce() {
        addChanges(new AuditTrail(Clock.systemUTC(), ""), 3);
        assertThat(lines).hasSize(3);
    }

    private static void addChanges(AuditTrail trail, int count) {
        for (int i = 0; i < count; i++) {
            trail.add(AuditEvent.Kind.MEMBERSHIP, "member-" + i, "joined", "", "ALIVE");
        }
    }
}
