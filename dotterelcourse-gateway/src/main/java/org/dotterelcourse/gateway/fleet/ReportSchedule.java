package org.dotterelcourse.gateway.fleet;

/**
 * Decides when a process that has a collector sends its report. It does so when the collector's sums arrive, so that it
 * wakes once a period for both, and at multiples of the period while they fail to arrive.
 */
final class ReportSchedule {
    private final long periodNanos;
    private long sentNanos;
    private long sumsNanos;
    private boolean hasSums;

    /**
     * Creates a schedule.
     *
     * @param periodNanos report period in nanoseconds
     */
    ReportSchedule(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Records that this process has sent its report, or has checked that there is nothing new to report. */
    void recordSent(long nowNanos) {
        sentNanos = nowNanos;
    }

    /** Records that the sums of the collector have arrived. */
    void recordSums(long nowNanos) {
        sumsNanos = nowNanos;
        hasSums = true;
    }

    /**
     * Returns whether to report as sums arrive. Not if the last report is much newer than a period, after sums that were
     * delayed.
     */
    boolean isDueOnSums(long nowNanos) {
        return nowNanos - sentNanos >= periodNanos * 3 / 4;
    }

    /** Returns the time until the next report if no sums arrive before. */
    long delayNanos(long nowNanos) {
        long patience = periodNanos * 3 / 2;
        return hasSums && nowNanos - sumsNanos < patience
                ? patience
                : periodNanos - Math.floorMod(nowNanos, periodNanos);
    }
}
