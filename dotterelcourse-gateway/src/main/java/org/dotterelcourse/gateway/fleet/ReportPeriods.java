package org.dotterelcourse.gateway.fleet;

import java.util.concurrent.TimeUnit;

/** Periods of load reports, and how long their absence is tolerated. A process whose event loop is late reports less often. */
final class ReportPeriods {
    /**
     * Shortest report period: about the duration of a request to a plain service. With a shorter one, reports would be
     * mostly about requests that have ended.
     */
    static final long MIN_DIRECT_MILLIS = 50;

    /** Report period per peer in a fleet without collectors; limits each process to some 140 reports a second. */
    private static final long DIRECT_MILLIS_PER_PEER = 7;

    /**
     * Report period in a fleet with collectors. A change reaches all processes in up to three hops, 0.15 s on average,
     * well below the time that an engine needs for a long prompt.
     */
    private static final long COLLECTED_MILLIS = 100;

    /**
     * Workers in a report up to which its period is {@link #COLLECTED_MILLIS}. With more, the period grows in proportion, so
     * that collectors convert the same number of rows a second in any fleet, at most to {@link #MAX_MILLIS}.
     */
    private static final int ROWS_PER_PERIOD = 400;

    /** Longest report period: below that of unchanged reports, and below half of {@link #TIMEOUT_MILLIS}. */
    private static final long MAX_MILLIS = 400;

    /** Time without a report after which a collector or reporter is given up: twice the longest period. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** Reports of a process whose loop is behind are this many times as far apart as the loop is late. */
    private static final long LAG_FACTOR = 4;

    private ReportPeriods() {}

    /** Returns the report period in milliseconds in a fleet without collectors. */
    static long directMillis(int peers, long lagMillis) {
        return slowed(Math.max(MIN_DIRECT_MILLIS, DIRECT_MILLIS_PER_PEER * peers), lagMillis);
    }

    /** Returns the report period in milliseconds in a fleet with collectors, for reports with the given number of workers. */
    static long collectedMillis(int rows, long lagMillis) {
        long periods = (rows + ROWS_PER_PERIOD - 1) / ROWS_PER_PERIOD;
        return slowed(Math.min(MAX_MILLIS, COLLECTED_MILLIS * Math.max(1, periods)), lagMillis);
    }

    private static long slowed(long periodMillis, long lagMillis) {
        return Math.max(periodMillis, Math.min(MAX_MILLIS, LAG_FACTOR * lagMillis));
    }

    /**
     * Returns the time in nanoseconds without a report after which a peer is given up. Its reports may wait for the loop of
     * this process.
     */
    static long timeoutNanos(long lagMillis) {
        return TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS + LAG_FACTOR * lagMillis);
    }
}
