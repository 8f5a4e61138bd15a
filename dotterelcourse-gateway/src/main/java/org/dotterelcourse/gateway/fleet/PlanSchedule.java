package org.dotterelcourse.gateway.fleet;

import org.dotterelcourse.coordination.collect.CollectorPlan;

/**
 * Decides when the plan of a fleet is computed anew after a change of its members. While many processes start or end, each
 * change would otherwise lead to a plan of its own, which takes time in proportion to the fleet.
 */
final class PlanSchedule {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time between two plans of a fleet with collectors; about as long as it takes to notice the silence of one. */
    private static final long INTERVAL_MILLIS = 500;

    /** Plans of a process whose loop is behind are this many times as far apart as the loop is late. */
    private static final long LAG_FACTOR = 4;

    private boolean hasPlan;
    private long plannedNanos;

    /**
     * Returns whether a changed view leads to a new plan now.
     *
     * @param members number of members in the view
     * @param lagMillis how late the event loop is, in milliseconds
     * @param nowNanos current monotonic time in nanoseconds
     */
    boolean isDue(int members, long lagMillis, long nowNanos) {
        if (!hasPlan || members <= CollectorPlan.MAX_DIRECT_PROCESSES) {
            return true;
        }
        long intervalMillis = Math.max(INTERVAL_MILLIS, LAG_FACTOR * lagMillis);
        return nowNanos - plannedNanos >= intervalMillis * NANOS_PER_MILLI;
    }

    /** Records that a plan was computed. */
    void recordPlan(long nowNanos) {
        hasPlan = true;
        plannedNanos = nowNanos;
    }
}
