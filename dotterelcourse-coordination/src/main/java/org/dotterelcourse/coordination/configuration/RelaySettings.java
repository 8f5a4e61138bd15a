package org.dotterelcourse.coordination.configuration;

/**
 * Times and bounds of the relay.
 *
 * @param fanOut peers that are told of a new position in each round
 * @param announceRounds rounds of telling; with four peers in each of three rounds, about one process in 160,000 is
 *     told by nobody, and learns of the position by membership's messages
 * @param announcePeriodNanos time between two rounds
 * @param pullTimeoutNanos until another peer is asked
 * @param joinWaitNanos how long a new process waits for peers before it takes what the service gave
 * @param joinPeers how many peers a new process asks
 * @param headPollNanos period at which a process that is no reader checks the service, in a small fleet
 * @param headPollFleet fleet size from which that period grows, so that the fleet's sum of checks does not
 * @param refetchNanos shortest time between two alarms and re-reads because of a digest
 * @param readTimeoutNanos until an unanswered read counts as failed; above the service's watch time
 * @param backoffNanos wait after a failed read; doubles with each further one
 * @param backoffCeilingNanos longest such wait
 * @param readsPerSecond budget of reads of this process
 * @param readBurst reads that may come at once
 * @param wholeGap number of missing entries from which the newest whole document is read instead
 * @param logEntries entries kept for peers
 * @param logBytes bytes of entries kept for peers
 */
public record RelaySettings(
        int fanOut,
        int announceRounds,
        long announcePeriodNanos,
        long pullTimeoutNanos,
        long joinWaitNanos,
        int joinPeers,
        long headPollNanos,
        int headPollFleet,
        long refetchNanos,
        long readTimeoutNanos,
        long backoffNanos,
        long backoffCeilingNanos,
        double readsPerSecond,
        double readBurst,
        int wholeGap,
        int logEntries,
        long logBytes) {

    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final int POLL_FLEET = 64;
    private static final int GAP = 32;
    private static final int LOG_ENTRIES = 128;
    private static final long LOG_BYTES = 4L << 20;
    private static final double READS_PER_SECOND = 20;
    private static final double READ_BURST = 40;

    /**
     * Settings for a service with 2,000 reads a second over all: two readers in each of seven data centres, at 20 reads
     * a second each, use 280 at the most; the other daemons' checks add about two a second whatever the fleet's size.
     */
    public static final RelaySettings STANDARD = new RelaySettings(
            4,
            3,
            300 * MILLISECOND,
            SECOND,
            3 * SECOND,
            3,
            30 * SECOND,
            POLL_FLEET,
            30 * SECOND,
            15 * SECOND,
            200 * MILLISECOND,
            5 * SECOND,
            READS_PER_SECOND,
            READ_BURST,
            GAP,
            LOG_ENTRIES,
            LOG_BYTES);

    /**
     * The same settings with another budget of reads.
     *
     * @param perSecond reads a second in the long run
     * @param burst reads that may come at once
     * @return the changed settings
     */
    public RelaySettings withReadRate(double perSecond, double burst) {
        return new RelaySettings(
                fanOut,
                announceRounds,
                announcePeriodNanos,
                pullTimeoutNanos,
                joinWaitNanos,
                joinPeers,
                headPollNanos,
                headPollFleet,
                refetchNanos,
                readTimeoutNanos,
                backoffNanos,
                backoffCeilingNanos,
                perSecond,
                burst,
                wholeGap,
                logEntries,
                logBytes);
    }
}
