package org.dotterelcourse.coordination.configuration;

/**
 * Periods, timeouts and limits of a {@link ConfigurationRelay}.
 *
 * @param fanOut number of peers to which a new position is announced in each round
 * @param announceRounds number of announcement rounds; with four peers in each of three rounds, about one process in
 *     160,000 receives no announcement and learns the position from membership messages
 * @param announcePeriodNanos time between two announcement rounds in nanoseconds
 * @param pullTimeoutNanos time without a reply to a pull, in nanoseconds, after which another peer is tried
 * @param joinTimeoutNanos maximum time in nanoseconds that a new process waits for peers before it puts in force the
 *     content that it has, such as that of the service
 * @param joinPeers number of peers that a new process pulls from, and whose positions it waits for
 * @param headPollPeriodNanos mean period in nanoseconds at which each process checks the service's newest entry, in a
 *     fleet smaller than twice headPollFleetSize
 * @param headPollFleetSize the period is multiplied by the fleet size divided by this value, rounded down but at least
 *     1, so that the load of these checks on the service does not grow with the fleet
 * @param refetchIntervalNanos minimum time in nanoseconds between two digest mismatch alarms, each of which causes the
 *     newest whole document and all later entries to be read again
 * @param readTimeoutNanos time in nanoseconds after which a read without a result counts as failed; must be longer than
 *     a watch of the service lasts
 * @param initialBackoffNanos mean wait after a failed read in nanoseconds; doubles with each consecutive failure
 * @param maxBackoffNanos upper bound of that mean wait in nanoseconds
 * @param readsPerSecond sustained rate of this process's reads of the service
 * @param readBurst number of reads that may be made at once
 * @param wholeDocumentGap if more entries than this are missing, the newest whole document is read instead of them
 * @param maxLogEntries maximum number of entries kept to serve peers
 * @param maxLogBytes maximum total size in bytes of the entries kept to serve peers
 */
public record RelaySettings(
        int fanOut,
        int announceRounds,
        long announcePeriodNanos,
        long pullTimeoutNanos,
        long joinTimeoutNanos,
        int joinPeers,
        long headPollPeriodNanos,
        int headPollFleetSize,
        long refetchIntervalNanos,
        long readTimeoutNanos,
        long initialBackoffNanos,
        long maxBackoffNanos,
        double readsPerSecond,
        double readBurst,
        int wholeDocumentGap,
        int maxLogEntries,
        long maxLogBytes) {

    private static final long MILLISECOND_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLISECOND_NANOS;
    private static final int HEAD_POLL_FLEET_SIZE = 64;
    private static final int WHOLE_DOCUMENT_GAP = 32;
    private static final int MAX_LOG_ENTRIES = 128;
    private static final long MAX_LOG_BYTES = 4L << 20;
    private static final double READS_PER_SECOND = 20;
    private static final double READ_BURST = 40;

    /**
     * Settings for a service with a quota of 2,000 reads per second: two readers in each of seven data centres, at 20
     * reads per second each, use 280 at most, and the checks by the other daemons add about two per second at any fleet
     * size.
     */
    public static final RelaySettings STANDARD = new RelaySettings(
            4,
            3,
            300 * MILLISECOND_NANOS,
            SECOND_NANOS,
            3 * SECOND_NANOS,
            3,
            30 * SECOND_NANOS,
            HEAD_POLL_FLEET_SIZE,
            30 * SECOND_NANOS,
            15 * SECOND_NANOS,
            200 * MILLISECOND_NANOS,
            5 * SECOND_NANOS,
            READS_PER_SECOND,
            READ_BURST,
            WHOLE_DOCUMENT_GAP,
            MAX_LOG_ENTRIES,
            MAX_LOG_BYTES);

    /**
     * Returns a copy of these settings with another limit on the reads of the service.
     *
     * @param newReadsPerSecond sustained rate of this process's reads of the service
     * @param newReadBurst number of reads that may be made at once
     * @return the changed copy
     */
    public RelaySettings withReadRate(double newReadsPerSecond, double newReadBurst) {
        return new RelaySettings(
                fanOut,
                announceRounds,
                announcePeriodNanos,
                pullTimeoutNanos,
                joinTimeoutNanos,
                joinPeers,
                headPollPeriodNanos,
                headPollFleetSize,
                refetchIntervalNanos,
                readTimeoutNanos,
                initialBackoffNanos,
                maxBackoffNanos,
                newReadsPerSecond,
                newReadBurst,
                wholeDocumentGap,
                maxLogEntries,
                maxLogBytes);
    }
}
