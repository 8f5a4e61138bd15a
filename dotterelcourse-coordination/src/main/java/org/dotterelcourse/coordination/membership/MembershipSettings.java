package org.dotterelcourse.coordination.membership;

/**
 * Timeouts and limits of the failure detector. The traffic of a member does not grow with the fleet: it sends one probe
 * a period and a bounded number of updates a message, and transmits each update only a logarithmic number of times. Only
 * the time to disseminate an update grows, with the logarithm of the fleet's size. All times are in nanoseconds.
 *
 * @param tickNanos longest time between two events
 * @param pauseThresholdNanos a longer gap between two events is treated as a pause of this process
 * @param probePeriodNanos time between two probes, and time after which an unanswered probe raises a suspicion
 * @param pingTimeoutNanos time after which indirect probes are requested and a new connection is tried
 * @param suspicionNanos time for a suspect to refute in a small fleet; the dissemination time of a larger one is added
 * @param unlistedSuspicionNanos time to refute for a suspect that is missing from the platform's list of VMs
 * @param gossipPeriodNanos time between two rounds of gossip while there are updates to disseminate
 * @param gossipFanOut number of receivers in each round of gossip
 * @param indirectProbers number of members that are requested to probe indirectly
 * @param syncPeriodNanos time between two comparisons of membership tables with a random member
 * @param reconnectPeriodNanos time between two attempts to reach a member that is dead or unknown in the local view
 * @param deadRetentionNanos time until a dead member is evicted
 * @param maxMembers maximum size of the membership table, dead members included
 */
public record MembershipSettings(
        long tickNanos,
        long pauseThresholdNanos,
        long probePeriodNanos,
        long pingTimeoutNanos,
        long suspicionNanos,
        long unlistedSuspicionNanos,
        long gossipPeriodNanos,
        int gossipFanOut,
        int indirectProbers,
        long syncPeriodNanos,
        long reconnectPeriodNanos,
        long deadRetentionNanos,
        int maxMembers) {

    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final long MINUTE = 60 * SECOND;

    /**
     * Settings for fleets of a few to a few hundred members. Pings between data centres are answered within a few
     * milliseconds, so no answer within 300 ms means that a message was lost or the process has stopped. A suspicion
     * timeout of two seconds lets a briefly paused process resume and refute.
     */
    public static final MembershipSettings STANDARD = new MembershipSettings(
            100 * MILLISECOND,
            SECOND,
            SECOND,
            300 * MILLISECOND,
            2 * SECOND,
            SECOND,
            300 * MILLISECOND,
            2,
            3,
            30 * SECOND,
            5 * SECOND,
            10 * MINUTE,
            4_096);
}
