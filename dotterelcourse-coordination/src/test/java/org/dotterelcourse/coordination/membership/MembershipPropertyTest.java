package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.coordination.SimulatedNetwork;
import org.dotterelcourse.coordination.ownership.CellId;
import org.dotterelcourse.coordination.ownership.Ownership;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipPropertyTest {

    private static final long SECOND = SimulatedNetwork.SECOND;
    private static final MembershipSettings SETTINGS = MembershipSettings.STANDARD;

    /**
     * For a minute, messages are lost, delayed and duplicated, links are blocked in one direction, and processes pause,
     * restart and exit. If the views did not converge afterwards, clients would be sent to daemons that no longer run, or
     * would never again be sent to some that do.
     */
    @Property(seed = "21", tries = 25)
    void viewsConvergeAfterAllFaultsAreCleared(
            @ForAll @IntRange(min = 2, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        Random random = new Random(seed);
        for (int round = 0; round < 12; round++) {
            injectFaults(fleet, size, random, 2 + round);
            fleet.run(5 * SECOND);
        }
        fleet.network.clearFaults();
        fleet.run(120 * SECOND);
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
        assertOwnersAgree(fleet);
    }

    /**
     * The host of one daemon stalls for longer than any timeout. When the process resumes, all other members seem to
     * have been silent. If it declared them dead, its updates would remove healthy daemons from the addresses that
     * clients get.
     */
    @Property(seed = "22", tries = 25)
    void pausedProcessDeclaresNoMemberDeadWhenItResumes(
            @ForAll @IntRange(min = 2, max = 12) int size,
            @ForAll @IntRange(min = 2, max = 90) int pauseSeconds,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.deaths.clear();
        fleet.network.pause(0, pauseSeconds * SECOND);
        fleet.run((pauseSeconds + 60) * SECOND);
        assertThat(fleet.pauses).isNotEmpty();
        assertThat(fleet.deaths).allMatch(death -> death.name().equals(Fleet.name(0)));
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * A link works in one direction only, for example because of a faulty switch port. Both daemons are healthy. If
     * either declared the other dead, cells would change owner and clients would be rejected without need.
     */
    @Property(seed = "23", tries = 25)
    void linkBlockedInOneDirectionMakesNoMemberDead(
            @ForAll @IntRange(min = 3, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.network.blockLink(0, 1);
        fleet.run(120 * SECOND);
        assertThat(fleet.deaths).isEmpty();
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * One message in twenty is lost on all links for minutes. If healthy daemons were declared dead, cells would change
     * owner all the time.
     */
    @Property(seed = "24", tries = 15)
    void messageLossAloneMakesNoMemberDead(
            @ForAll @IntRange(min = 3, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.network.setFaults(0.05, 0.05, 20 * SimulatedNetwork.MILLISECOND);
        fleet.run(180 * SECOND);
        assertThat(fleet.deaths).isEmpty();
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * Two regions are partitioned for a while and both continue to work. When the partition ends, each region reports all
     * daemons of the other one dead. No region may remove its own healthy members because of these reports.
     */
    @Property(seed = "25", tries = 15)
    void endOfAPartitionMakesNoMemberDeadInItsOwnPart(
            @ForAll @IntRange(min = 4, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        partition(fleet, size);
        fleet.run(120 * SECOND);
        fleet.network.clearFaults();
        fleet.deaths.clear();
        fleet.run(120 * SECOND);
        assertThat(fleet.deaths)
                .noneMatch(death -> inFirstHalf(death.observer(), size) == inFirstHalf(death.name(), size));
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * The same in a larger fleet, where many members report the deaths at once, faster than the reported members can
     * refute them.
     */
    @Example
    void endOfAPartitionOfALargeFleetMakesNoMemberDeadInItsOwnPart() {
        int size = 80;
        Fleet fleet = new Fleet(size, 7, SETTINGS);
        fleet.run(30 * SECOND);
        partition(fleet, size);
        fleet.run(40 * SECOND);
        fleet.network.clearFaults();
        fleet.deaths.clear();
        fleet.run(40 * SECOND);
        assertThat(fleet.deaths)
                .noneMatch(death -> inFirstHalf(death.observer(), size) == inFirstHalf(death.name(), size));
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * A VM is replaced by one with the same name, another address and a higher incarnation, while the old process is only
     * paused. If the old process competed for the name when it resumes, both would flap in the view of all members.
     */
    @Property(seed = "26", tries = 20)
    void resumedProcessOfAReplacedVmStops(
            @ForAll @IntRange(min = 3, max = 10) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.network.pause(0, 60 * SECOND);
        fleet.run(10 * SECOND);
        fleet.start(size, Fleet.name(0), 1_000);
        fleet.run(120 * SECOND);
        assertThat(fleet.superseded).hasSize(1);
        assertThat(fleet.nodes.get(0).isStopped()).isTrue();
        fleet.stop(0);
        fleet.run(30 * SECOND);
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
        for (Membership each : fleet.nodes.values()) {
            assertThat(each.members()).noneMatch(member -> member.address().equals(SimulatedNetwork.address(0)));
        }
    }

    /**
     * A VM is lost and its IP address is assigned to a new VM with another name. Probes of the lost member now reach a
     * healthy process. If its acks counted for the lost member, that one would stay alive forever.
     */
    @Property(seed = "27", tries = 20)
    void lostVmIsDeclaredDeadAlthoughAnotherHasItsAddress(
            @ForAll @IntRange(min = 3, max = 10) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.stop(1);
        fleet.start(1, "entry-new", 1);
        fleet.run(60 * SECOND);
        for (int node : fleet.nodes.keySet()) {
            assertThat(fleet.state(node, "entry-new")).isEqualTo(MemberState.ALIVE);
            assertThat(fleet.state(node, Fleet.name(1))).isIn(MemberState.DEAD, null);
        }
    }

    /**
     * A VM is replaced and the clock of the new one is slow, so its process starts with a lower incarnation than the old
     * one had. If it did not raise its incarnation, its peers would ignore its updates as outdated, and no client would be
     * sent to it.
     */
    @Property(seed = "29", tries = 15)
    void processRestartedWithASlowClockIsAccepted(
            @ForAll @IntRange(min = 2, max = 10) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.start(0, Fleet.name(0), 1_000_000);
        fleet.run(20 * SECOND);
        fleet.start(0, Fleet.name(0), 5);
        fleet.run(30 * SECOND);
        assertThat(fleet.superseded).isEmpty();
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * A VM is lost and no longer on the platform's list. Waiting for it as long as for a process that may only be slow
     * would leave its clients without an answer for longer than necessary.
     */
    @Property(seed = "30", tries = 15)
    void unlistedSuspectIsDeclaredDeadSooner(
            @ForAll @IntRange(min = 4, max = 10) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        long listedNanos = nanosToFirstDeath(size, seed, false);
        long unlistedNanos = nanosToFirstDeath(size, seed, true);
        assertThat(unlistedNanos).isLessThan(listedNanos);
    }

    private static long nanosToFirstDeath(int size, int seed, boolean unlisted) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.stop(0);
        if (unlisted) {
            fleet.setVmList(fleet.nodes.keySet());
            fleet.sendVmList();
        }
        long startNanos = fleet.network.nowNanos();
        fleet.run(30 * SECOND);
        return fleet.deaths.get(0).atNanos() - startNanos;
    }

    /**
     * A daemon that shuts down must get no new clients or cells, although it still answers. A delayed message must not
     * make it alive again in any view.
     */
    @Property(seed = "28", tries = 15)
    void leavingStateReachesAllAndIsNotReverted(
            @ForAll @IntRange(min = 2, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.network.setFaults(0.05, 0.1, 50 * SimulatedNetwork.MILLISECOND);
        fleet.submit(0, new MembershipEvent.Leave());
        fleet.run(15 * SECOND);
        for (int round = 0; round < 10; round++) {
            fleet.run(3 * SECOND);
            for (int node : fleet.nodes.keySet()) {
                assertThat(fleet.state(node, Fleet.name(0))).isIn(MemberState.LEAVING, MemberState.SUSPECT);
            }
        }
        fleet.submit(0, new MembershipEvent.Shutdown());
        fleet.stop(0);
        fleet.run(5 * SECOND);
        for (int node : fleet.nodes.keySet()) {
            assertThat(fleet.state(node, Fleet.name(0))).isEqualTo(MemberState.DEAD);
        }
    }

    private static void injectFaults(Fleet fleet, int size, Random random, long incarnation) {
        fleet.network.clearFaults();
        fleet.network.setFaults(
                random.nextDouble() * 0.3, 0.1, random.nextLong(200 * SimulatedNetwork.MILLISECOND) + 1);
        for (int i = 0; i < size / 2; i++) {
            fleet.network.blockLink(random.nextInt(size), random.nextInt(size));
        }
        int node = random.nextInt(size);
        switch (random.nextInt(5)) {
            case 0 -> fleet.network.pause(node, random.nextLong(20 * SECOND));
            case 1 -> fleet.start(node, Fleet.name(node), incarnation * 1_000);
            case 2 -> partition(fleet, size);
            case 3 -> {
                if (fleet.nodes.size() > 2) {
                    fleet.stop(node);
                }
            }
            default -> fleet.network.setFaults(0.5, 0, SECOND);
        }
    }

    private static void partition(Fleet fleet, int size) {
        for (int a = 0; a < size / 2; a++) {
            for (int b = size / 2; b < size; b++) {
                fleet.network.blockLink(a, b);
                fleet.network.blockLink(b, a);
            }
        }
    }

    private static boolean inFirstHalf(int node, int size) {
        return node < size / 2;
    }

    private static boolean inFirstHalf(String name, int size) {
        return inFirstHalf(Integer.parseInt(name.substring("entry-".length())), size);
    }

    private static void assertOwnersAgree(Fleet fleet) {
        List<String> owners = new ArrayList<>();
        for (Membership each : fleet.nodes.values()) {
            StringBuilder all = new StringBuilder();
            Ownership ownership = new Ownership(each.members(), 0, fleet.network.nowNanos());
            for (int i = 0; i < 20; i++) {
                all.append(ownership
                        .owner(new CellId("llm", "muscat", i))
                        .orElseThrow()
                        .name());
            }
            owners.add(all.toString());
        }
        assertThat(owners).allMatch(each -> each.equals(owners.get(0)));
    }
}
