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
     * For a minute everything goes wrong at once: messages are lost, delayed, doubled, links are cut one way, processes
     * pause, restart and end. If views stayed apart afterwards, callers would be sent to daemons that are gone, or never
     * again to some that are there.
     */
    @Property(seed = "21", tries = 25)
    void viewsAgreeOnceEverythingHasHealed(
            @ForAll @IntRange(min = 2, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        Random random = new Random(seed);
        for (int round = 0; round < 12; round++) {
            trouble(fleet, size, random, 2 + round);
            fleet.run(5 * SECOND);
        }
        fleet.wire.clearFaults();
        fleet.run(120 * SECOND);
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
        assertOwnersAgree(fleet);
    }

    /**
     * The host of one daemon stalls for longer than any timeout, and the process wakes with its old beliefs: to it, all
     * others have been silent for ages. If it declared them dead, its news would take healthy daemons out of the answer
     * to callers.
     */
    @Property(seed = "22", tries = 25)
    void pausedProcessDeclaresNobodyDeadWhenItWakes(
            @ForAll @IntRange(min = 2, max = 12) int size,
            @ForAll @IntRange(min = 2, max = 90) int pauseSeconds,
            @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.deaths.clear();
        fleet.wire.pause(0, pauseSeconds * SECOND);
        fleet.run((pauseSeconds + 60) * SECOND);
        assertThat(fleet.pauses).isNotEmpty();
        assertThat(fleet.deaths).allMatch(death -> death.name().equals(Fleet.name(0)));
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * A link carries one way only, as with a half-broken switch port. Each of the two daemons is well; if either took
     * the other for dead, its cells would move and its callers be turned away for nothing.
     */
    @Property(seed = "23", tries = 25)
    void cutInOneDirectionBetweenTwoMakesNobodyDead(
            @ForAll @IntRange(min = 3, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.wire.blockLink(0, 1);
        fleet.run(120 * SECOND);
        assertThat(fleet.deaths).isEmpty();
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * One message in twenty is lost everywhere, for minutes. Daemons that are well must not be taken for dead, or the
     * fleet would spend its time moving cells.
     */
    @Property(seed = "24", tries = 15)
    void lossAloneMakesNobodyDead(
            @ForAll @IntRange(min = 3, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.wire.setFaults(0.05, 0.05, 20 * SimulatedNetwork.MILLISECOND);
        fleet.run(180 * SECOND);
        assertThat(fleet.deaths).isEmpty();
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * Two regions lose each other for a while, and each goes on alone. When the line is back, the daemons of one region
     * hear from the other that they are all dead; no region may take its own healthy members out because of that.
     */
    @Property(seed = "25", tries = 15)
    void healedPartitionMakesNobodyDeadInHisOwnPart(
            @ForAll @IntRange(min = 4, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        partition(fleet, size);
        fleet.run(120 * SECOND);
        fleet.wire.clearFaults();
        fleet.deaths.clear();
        fleet.run(120 * SECOND);
        assertThat(fleet.deaths).noneMatch(death -> inFirstHalf(death.by(), size) == inFirstHalf(death.name(), size));
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * The same in a larger fleet, where the word that all are dead comes from many at once, faster than those who are
     * said to be dead can answer.
     */
    @Example
    void healedPartitionOfALargeFleetMakesNobodyDeadInHisOwnPart() {
        int size = 80;
        Fleet fleet = new Fleet(size, 7, SETTINGS);
        fleet.run(30 * SECOND);
        partition(fleet, size);
        fleet.run(40 * SECOND);
        fleet.wire.clearFaults();
        fleet.deaths.clear();
        fleet.run(40 * SECOND);
        assertThat(fleet.deaths).noneMatch(death -> inFirstHalf(death.by(), size) == inFirstHalf(death.name(), size));
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
    }

    /**
     * A VM is replaced: the new one has the name, another address and a later incarnation, while the old process was
     * only paused. When it wakes it must not fight for the name, or both would flap in everybody's view.
     */
    @Property(seed = "26", tries = 20)
    void wokenProcessOfAReplacedVmFallsSilent(
            @ForAll @IntRange(min = 3, max = 10) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.wire.pause(0, 60 * SECOND);
        fleet.run(10 * SECOND);
        fleet.start(size, Fleet.name(0), 1_000);
        fleet.run(120 * SECOND);
        assertThat(fleet.superseded).hasSize(1);
        assertThat(fleet.nodes.get(0).silenced()).isTrue();
        fleet.stop(0);
        fleet.run(30 * SECOND);
        assertThat(fleet.converged(MemberState.ALIVE)).isTrue();
        for (Membership each : fleet.nodes.values()) {
            assertThat(each.members()).noneMatch(member -> member.address().equals(SimulatedNetwork.address(0)));
        }
    }

    /**
     * A VM is lost and its IP number goes to a new VM of another name. Probes meant for the lost one reach a process
     * that is well; if its answers counted, the lost daemon would stay alive for ever.
     */
    @Property(seed = "27", tries = 20)
    void lostVmIsDeadThoughAnotherHasItsAddress(
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
     * A VM is replaced and the clock of the new one is behind, so that its process starts with a lower incarnation than
     * the old one had. Its peers would take all it says for old news, and no caller would be sent to it.
     */
    @Property(seed = "29", tries = 15)
    void restartWithAClockThatIsBehindIsTakenIn(
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
     * A VM is lost and the platform's list no longer has it. Waiting for its word as long as for one that may only be
     * slow would leave its callers without an answer for longer than needed.
     */
    @Property(seed = "30", tries = 15)
    void suspectThatIsOffTheListIsGivenUpSooner(
            @ForAll @IntRange(min = 4, max = 10) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        long unconfirmed = timeToFirstDeath(size, seed, false);
        long confirmed = timeToFirstDeath(size, seed, true);
        assertThat(confirmed).isLessThan(unconfirmed);
    }

    private static long timeToFirstDeath(int size, int seed, boolean offTheList) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.stop(0);
        if (offTheList) {
            fleet.list(fleet.nodes.keySet());
            fleet.tellList();
        }
        long before = fleet.wire.nowNanos();
        fleet.run(30 * SECOND);
        return fleet.deaths.get(0).atNanos() - before;
    }

    /**
     * A daemon shuts down. From then on nobody may send it new callers or cells, though it still answers; and a daemon
     * that has been told to leave must not come back to life in any view by a late message.
     */
    @Property(seed = "28", tries = 15)
    void leavingReachesAllAndIsNotTakenBack(
            @ForAll @IntRange(min = 2, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Fleet fleet = new Fleet(size, seed, SETTINGS);
        fleet.run(20 * SECOND);
        fleet.wire.setFaults(0.05, 0.1, 50 * SimulatedNetwork.MILLISECOND);
        fleet.tell(0, new MembershipEvent.Leave());
        fleet.run(15 * SECOND);
        for (int round = 0; round < 10; round++) {
            fleet.run(3 * SECOND);
            for (int node : fleet.nodes.keySet()) {
                assertThat(fleet.state(node, Fleet.name(0))).isIn(MemberState.LEAVING, MemberState.SUSPECT);
            }
        }
        fleet.tell(0, new MembershipEvent.Shutdown());
        fleet.stop(0);
        fleet.run(5 * SECOND);
        for (int node : fleet.nodes.keySet()) {
            assertThat(fleet.state(node, Fleet.name(0))).isEqualTo(MemberState.DEAD);
        }
    }

    private static void trouble(Fleet fleet, int size, Random random, long incarnation) {
        fleet.wire.clearFaults();
        fleet.wire.setFaults(random.nextDouble() * 0.3, 0.1, random.nextLong(200 * SimulatedNetwork.MILLISECOND) + 1);
        for (int i = 0; i < size / 2; i++) {
            fleet.wire.blockLink(random.nextInt(size), random.nextInt(size));
        }
        int node = random.nextInt(size);
        switch (random.nextInt(5)) {
            case 0 -> fleet.wire.pause(node, random.nextLong(20 * SECOND));
            case 1 -> fleet.start(node, Fleet.name(node), incarnation * 1_000);
            case 2 -> partition(fleet, size);
            case 3 -> {
                if (fleet.nodes.size() > 2) {
                    fleet.stop(node);
                }
            }
            default -> fleet.wire.setFaults(0.5, 0, SECOND);
        }
    }

    private static void partition(Fleet fleet, int size) {
        for (int a = 0; a < size / 2; a++) {
            for (int b = size / 2; b < size; b++) {
                fleet.wire.blockLink(a, b);
                fleet.wire.blockLink(b, a);
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
            Ownership ownership = new Ownership(each.members(), 0, fleet.wire.nowNanos());
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
