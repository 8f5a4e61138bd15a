package org.dotterelcourse.gateway.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportPeriodsTest {
    private static final long MILLI = 1_000_000L;

    @Test
    void periodsGrowWithTheFleetAndItsWorkers() {
        assertThat(ReportPeriods.directMillis(3, 0)).isEqualTo(50);
        assertThat(ReportPeriods.directMillis(11, 0)).isEqualTo(77);
        assertThat(ReportPeriods.collectedMillis(98, 0)).isEqualTo(100);
        assertThat(ReportPeriods.collectedMillis(4_200, 0)).isEqualTo(400);
    }

    /** Guards against reports that keep a process behind, and against collectors given up by a process that is late itself. */
    @Test
    void aProcessThatIsLateReportsLessOftenAndWaitsLongerForReports() {
        assertThat(ReportPeriods.collectedMillis(98, 50)).isEqualTo(200);
        assertThat(ReportPeriods.collectedMillis(98, 5_000)).isEqualTo(400);
        assertThat(ReportPeriods.timeoutNanos(0)).isEqualTo(1_000 * MILLI);
        assertThat(ReportPeriods.timeoutNanos(500)).isEqualTo(3_000 * MILLI);
    }
}
