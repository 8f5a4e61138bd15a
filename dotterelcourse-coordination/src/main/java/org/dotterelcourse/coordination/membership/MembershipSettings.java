package org.dotterelcourse.coordination.membership;

/**
 * Times and bounds of the probing. What a member sends does not grow with the fleet: one probe a period, a bounded
 * number of statements a message, and statements that are passed on only a logarithmic number of times. Only the time
 * that news takes grows, with the logarithm of the fleet's size.
 *
 * @param tickNanos longest time between two events
 * @param pauseNanos a gap between two events above this is a pause of this process
 * @param probePeriodNanos time between two probes, and until a probe without answer makes a suspect
 * @param pingTimeoutNanos time until others are asked to probe, and a new connection is tried
 * @param suspicionNanos time to refute in a small fleet; news that has to cross a larger one adds to it
 * @param confirmedSuspicionNanos time to refute for one that the platform's list no longer has
 * @param gossipPeriodNanos time between two rounds of passing news on, while there is any
 * @param gossipFanOut receivers of each such round
 * @param helpers how many members are asked to probe indirectly
 * @param syncPeriodNanos time between two comparisons of tables with a random member
 * @param reconnectPeriodNanos time between two attempts to reach a member that is dead or unknown here
 * @param forgetNanos how long a dead member is remembered
 * @param maxMembers bound on the table, dead ones included
 */
public record MembershipSettings(
        long tickNanos,
        long pauseNanos,
        long probePeriodNanos,
        long pingTimeoutNanos,
        long suspicionNanos,
        long confirmedSuspicionNanos,
        long gossipPeriodNanos,
        int gossipFanOut,
        int helpers,
        long syncPeriodNanos,
        long reconnectPeriodNanos,
        long forgetNanos,
        int maxMembers) {

    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final long MINUTE = 60 * SECOND;

    /**
     * Settings for fleets of a few to a few hundred members. A ping is answered within a few milliseconds between data
     * centres, so 300 ms mean a loss or a stop; two seconds leave a short pause of a process time to end and be refuted.
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
