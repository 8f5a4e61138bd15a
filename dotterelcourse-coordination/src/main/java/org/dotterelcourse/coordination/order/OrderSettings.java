package org.dotterelcourse.coordination.order;

/**
 * Times and bounds of an issuer, in nanoseconds where they are times.
 *
 * @param maxConfirmationAgeNanos how long after a peer's confirmation the issuer counts as having heard recently
 * @param settleNanos how long a new owner waits before it unloads anything, and where engines don't check fencing
 *     numbers before any order; longer than the old owner needs to learn that it no longer owns the cell, and than
 *     reports lag
 * @param maxReportAgeNanos how old a report may be to plan from it
 * @param effectTimeoutNanos how long an accepted order may take to show in the reports before it is given again
 * @param loadIntervalNanos the time from one load to the next in this cell: the weight store's rate, divided among the
 *     cells that share it
 * @param maxLoading how many loads may be under way in this cell
 */
public record OrderSettings(
        long maxConfirmationAgeNanos,
        long settleNanos,
        long maxReportAgeNanos,
        long effectTimeoutNanos,
        long loadIntervalNanos,
        int maxLoading) {
    private static final long SECOND = 1_000_000_000L;

    /**
     * The defaults: heard within 2 s, settle 5 s, reports up to 5 s old, 120 s for an effect, a load each 2 s, 4 at a
     * time.
     *
     * @return the settings
     */
    public static OrderSettings defaults() {
        return new OrderSettings(2 * SECOND, 5 * SECOND, 5 * SECOND, 120 * SECOND, 2 * SECOND, 4);
    }
}
