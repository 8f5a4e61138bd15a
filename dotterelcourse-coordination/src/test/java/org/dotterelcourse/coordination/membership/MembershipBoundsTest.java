package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.coordination.Wire;
import org.dotterelcourse.coordination.transport.TransportLimits;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class MembershipBoundsTest {

    private static final long SECOND = Wire.SECOND;
    private static final MembershipSettings STANDARD = MembershipSettings.STANDARD;

    /**
     * A data centre is lost at once, and everybody has much news for everybody. A message above the size of a datagram
     * would never arrive, and with it none of the news.
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
    void payloadThatLeavesNoRoomInADatagramIsRefused() {
        assertThatThrownBy(() -> new Fleet(1, 1, STANDARD, "x".repeat(300)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void steadyTrafficOfAMemberDoesNotGrowWithTheFleet() {
        double small = steadyBytesOfAMember(16);
        double large = steadyBytesOfAMember(128);
        assertThat(large).isLessThan(small * 1.1);
    }

    /**
     * VMs are replaced all day for weeks, each time under a new name. If the names of the dead stayed, the memory and
     * the tables that travel would grow until daemons fail together.
     */
    @Test
    void membersThatAreLongDeadAreForgotten() {
        Fleet fleet = new Fleet(4, 53, quickToForget());
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

    private static double steadyBytesOfAMember(int size) {
        Fleet fleet = new Fleet(size, 52, STANDARD);
        fleet.run(60 * SECOND);
        fleet.datagramBytes = 0;
        fleet.run(30 * SECOND);
        return (double) fleet.datagramBytes / size;
    }

    private static MembershipSettings quickToForget() {
        return new MembershipSettings(
                STANDARD.tickNanos(),
                STANDARD.pauseNanos(),
                STANDARD.probePeriodNanos(),
                STANDARD.pingTimeoutNanos(),
                STANDARD.suspicionNanos(),
                STANDARD.confirmedSuspicionNanos(),
                STANDARD.gossipPeriodNanos(),
                STANDARD.gossipFanOut(),
                STANDARD.helpers(),
                STANDARD.syncPeriodNanos(),
                STANDARD.reconnectPeriodNanos(),
                60 * SECOND,
                STANDARD.maxMembers());
    }
}
