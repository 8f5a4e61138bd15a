package org.dotterelcourse.gateway.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlanScheduleTest {
    private static final long MILLI = 1_000_000L;
    private static final long PERIOD_MILLIS = 100;

    /** Guards against a plan for each change while a large fleet starts, which took the time that requests needed. */
    @Test
    void aLargeFleetWhoseMembersKeepChangingIsPlannedTwiceASecond() {
        assertThat(plansWithin(10_000, 86, 0)).isBetween(15, 21);
    }

    @Test
    void aProcessThatIsBehindPlansLessOften() {
        assertThat(plansWithin(10_000, 86, 500)).isBetween(4, 6);
    }

    @Test
    void aSmallFleetIsPlannedAfterEachChange() {
        assertThat(plansWithin(1_000, 12, 500)).isEqualTo(10);
    }

    private static int plansWithin(long millis, int members, long lagMillis) {
        PlanSchedule schedule = new PlanSchedule();
        int plans = 0;
        for (long now = 0; now < millis; now += PERIOD_MILLIS) {
            if (schedule.isDue(members, lagMillis, now * MILLI)) {
                schedule.recordPlan(now * MILLI);
                plans++;
            }
        }
        return plans;
    }
}
