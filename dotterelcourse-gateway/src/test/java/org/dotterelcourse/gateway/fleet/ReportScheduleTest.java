package org.dotterelcourse.gateway.fleet;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReportScheduleTest {
    private static final long MILLI = 1_000_000L;
    private static final long PERIOD = 100 * MILLI;

    private final ReportSchedule schedule = new ReportSchedule(PERIOD);
    private long timerNanos;
    private int reports;
    private int timers;

    // Guards against two wake-ups a period, one for the timer and one for the collector's sums, at any offset between
    // them and with delays on the way.
    @Test
    void reportsOnceAPeriodAndWakesForTheSumsOnly() {
        Random random = new Random(1);
        for (int offset = 0; offset < 100; offset += 7) {
            simulate(offset * MILLI, 20_000 * MILLI, Long.MAX_VALUE, random);
            assertThat(reports).isBetween(190, 205);
            assertThat(timers).isLessThan(6);
        }
    }

    // Guards against a process whose load goes unreported after its collector has failed.
    @Test
    void continuesByTimerWhenTheCollectorFails() {
        simulate(30 * MILLI, 20_000 * MILLI, 10_000 * MILLI, new Random(2));
        assertThat(reports).isBetween(195, 205);
        assertThat(timers).isBetween(95, 105);
    }

    private void simulate(long offsetNanos, long endNanos, long failureNanos, Random random) {
        reports = 0;
        timers = 0;
        long start = PERIOD * 1_000;
        timerNanos = start;
        long sumsNanos = start + offsetNanos;
        for (long now = start; now < start + endNanos; now += MILLI) {
            if (now >= sumsNanos && now - start < failureNanos) {
                sumsNanos += PERIOD + (random.nextInt(5) - 2) * MILLI;
                schedule.recordSums(now);
                if (schedule.isDueOnSums(now)) {
                    report(now);
                }
            }
            if (now >= timerNanos) {
                timers++;
                report(now);
            }
        }
    }

    private void report(long nowNanos) {
        reports++;
        schedule.recordSent(nowNanos);
        timerNanos = nowNanos + schedule.delayNanos(nowNanos);
    }
}
