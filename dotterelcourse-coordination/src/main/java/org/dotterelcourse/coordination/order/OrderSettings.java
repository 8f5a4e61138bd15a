package org.dotterelcourse.coordination.order;

/**
 * Timeouts and limits of an {@link OrderIssuer}. All times are in nanoseconds.
 *
 * @param maxConfirmationAgeNanos maximum age of a peer's confirmation of the configuration number; without a younger
 *     one no order is issued
 * @param settleNanos time that a new owner waits before its first unload or, if engines don't check fencing tokens,
 *     before any order; must be longer than the previous owner needs to learn that it lost the cell, and longer than
 *     the lag of state reports
 * @param maxReportAgeNanos maximum age of a state report that is used for planning
 * @param effectTimeoutNanos time after which an order is dropped if its effect is not visible in the reports, so that
 *     it can be planned again; counted from when the order was planned, issued or accepted, whichever came last
 * @param loadIntervalNanos minimum time between two loads in this cell, derived from the load rate of the weight store
 *     divided by the number of cells that share it
 * @param maxConcurrentLoads maximum number of pending loads in this cell
 */
public record OrderSettings(
        long maxConfirmationAgeNanos,
        long settleNanos,
        long maxReportAgeNanos,
        long effectTimeoutNanos,
        long loadIntervalNanos,
        int maxConcurrentLoads) {
    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * The defaults: confirmations up to 2 s old, settle time 5 s, reports up to 5 s old, effect timeout 120 s, one load
     * every 2 s, at most 4 concurrent loads.
     *
     * @return the default settings
     */
    public static OrderSettings defaults() {
        return new OrderSettings(
                2 * SECOND_NANOS, 5 * SECOND_NANOS, 5 * SECOND_NANOS, 120 * SECOND_NANOS, 2 * SECOND_NANOS, 4);
    }
}
