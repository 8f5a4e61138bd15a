package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.coordination.SimulatedNetwork;
import org.dotterelcourse.coordination.transport.TransportLimits;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class MembershipBoundsTest {

    private static final long SECOND = SimulatedNetwork.SECOND;
    private static final MembershipSettings STANDARD = MembershipSettings.STANDARD;

    /**
     * When a whole data centre is lost, all members have many updates to disseminate. A message above the size of a
     * datagram would never arrive, and neither would the updates in it.
     */
    @Test
    void messagesStayWithinADatagramWhenAThirdOfTheFleetIsLost() {
        Fleet fleet = new Fleet(45, 51, STANDARD, "x".repeat(240));
        fleet.run(20 * SECOND);
        for (int node = 0; node < 45; node += 3) {
            fleet.stop(node);
        }
        fleet.run(30 * SECOND);
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
        assertThat(fleet.largestDatagram)
                .isGreaterThan(800)
                .isLessThanOrEqualTo(TransportLimits.STANDARD.maxDatagramBytes());
    }

    @Test
    void payloadTooLongForADatagramIsRejected() {
        assertThatThrownBy(() -> new Fleet(1, 1, STANDARD, "x".repeat(300)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void steadyStateTrafficOfAMemberDoesNotGrowWithTheFleet() {
        double small = steadyStateBytesPerMember(16);
        double large = steadyStateBytesPerMember(128);
        assertThat(large).isLessThan(small * 1.1);
    }

    /**
     * VMs are replaced continually for weeks, each time under a new name. If dead members were never evicted, memory and
     * transmitted tables would grow until all daemons fail at the same time.
     */
    @Test
    void deadMembersAreEvictedAfterTheirRetentionPeriod() {
        Fleet fleet = new Fleet(4, 53, withShortDeadRetention());
        for (int generation = 1; generation <= 30; generation++) {
            fleet.stop(3);
            fleet.run(15 * SECOND);
            fleet.start(3, "replacement-" + generation, 1);
            fleet.run(5 * SECOND);
        }
        fleet.run(120 * SECOND);
        List<Integer> sizes = new ArrayList<>();
        fleet.nodes.values().forEach(each -> sizes.add(each.members().size()));
        assertThat(sizes).containsOnly(4);
    }

    private static double steadyStateBytesPerMember(int size) {
        Fleet fleet = new Fleet(size, 52, STANDARD);
        fleet.run(60 * SECOND);
        fleet.datagramBytes = 0;
        fleet.run(30 * SECOND);
        return (double) fleet.datagramBytes / size;
    }

    private static MembershipSettings withShortDeadRetention() {
        return new MembershipSettings(
                STANDARD.tickNanos(),
                STANDARD.pauseThresholdNanos(),
                STANDARD.probePeriodNanos(),
                STANDARD.pingTimeoutNanos(),
                STANDARD.suspicionNanos(),
                STANDARD.unlistedSuspicionNanos(),
                STANDARD.gossipPeriodNanos(),
                STANDARD.gossipFanOut(),
                STANDARD.indirectProbers(),
                STANDARD.syncPeriodNanos(),
                STANDARD.reconnectPeriodNanos(),
                60 * SECOND,
                STANDARD.maxMembers());
    }
}
