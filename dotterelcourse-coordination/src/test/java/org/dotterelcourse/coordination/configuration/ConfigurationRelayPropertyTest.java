package org.dotterelcourse.coordination.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.dotterelcourse.coordination.SimulatedNetwork;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationRelayPropertyTest {

    private static final long SECOND = SimulatedNetwork.SECOND;

    /**
     * Messages are lost, doubled and late, processes pause and restart, and the service is down or stale, while changes
     * go on. If a daemon took an older number, a caller who has just been given a new limit or class would lose it again.
     */
    @Property(seed = "41", tries = 25)
    void numberInForceOnlyRisesAndIsEqualEverywhereOnceHealed(
            @ForAll @IntRange(min = 1, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        Random random = new Random(seed);
        for (int round = 0; round < 20; round++) {
            trouble(fleet, size, random);
            fleet.run(random.nextLong(6 * SECOND) + 1);
            assertNumbersRise(fleet);
        }
        fleet.wire.clearFaults();
        fleet.serviceDown = false;
        fleet.staleHead = Long.MAX_VALUE;
        fleet.run(90 * SECOND);
        assertNumbersRise(fleet);
        assertThat(fleet.allAtReference()).isTrue();
    }

    @Property(seed = "42", tries = 20)
    void changeIsInForceEverywhereWithinFourSeconds(
            @ForAll @IntRange(min = 1, max = 40) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        fleet.run(15 * SECOND);
        fleet.publishPatch(false);
        fleet.run(4 * SECOND);
        assertThat(fleet.allAtReference()).isTrue();
    }

    /**
     * The configuration service is down for hours, and in that time VMs are replaced. A new daemon without a
     * configuration could serve nobody; it must get the fleet's from its peers.
     */
    @Property(seed = "43", tries = 20)
    void newProcessGetsTheFleetsConfigurationWhileTheServiceIsDown(
            @ForAll @IntRange(min = 2, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        publishSome(fleet, 5);
        fleet.run(15 * SECOND);
        fleet.serviceDown = true;
        fleet.start(0);
        fleet.run(4 * SECOND);
        assertThat(fleet.allAtReference()).isTrue();
    }

    /**
     * The service comes back from an old copy, and a VM is replaced just then. If the new daemon believed the service,
     * it would work by limits and classes that operators have long changed.
     */
    @Property(seed = "44", tries = 20)
    void staleServiceTakesNobodyBackAndMisleadsNoNewProcess(
            @ForAll @IntRange(min = 4, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        publishSome(fleet, 8);
        fleet.run(15 * SECOND);
        fleet.staleHead = 3;
        fleet.wire.setFaults(0, 0, 300 * SimulatedNetwork.MILLISECOND);
        fleet.start(1);
        fleet.run(60 * SECOND);
        assertThat(fleet.inForce.get(1)).containsExactly(fleet.reference.number());
        assertThat(fleet.allAtReference()).isTrue();
        assertThat(fleet.alarms).hasAtLeastOneElementOfType(RelayAlarm.ServiceBehind.class);
    }

    /**
     * A reader is given another text under the same number than all others, by a fault in the service. Two parts of the
     * fleet would work by different rules and both believe that they are up to date.
     */
    @Property(seed = "45", tries = 20)
    void differentDigestsForOneNumberAreNoticedAndMended(
            @ForAll @IntRange(min = 4, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        fleet.run(15 * SECOND);
        fleet.wrongReader = 0;
        fleet.wire.pause(0, SECOND);
        fleet.publishPatch(false);
        fleet.run(120 * SECOND);
        assertThat(fleet.allAtReference()).isTrue();
        boolean misled = fleet.wrongReader < 0;
        assertThat(fleet.alarms.stream().anyMatch(RelayAlarm.DigestMismatch.class::isInstance))
                .isEqualTo(misled);
        assertNumbersRise(fleet);
    }

    /**
     * The quota of reads is shared and grows more slowly than the fleet. If each daemon checked the service at a fixed
     * period, a larger fleet would use the quota up, and nobody would see a change in time.
     */
    @Property(seed = "46", tries = 3)
    void readsOfAQuietServiceDoNotGrowWithTheFleet(@ForAll @IntRange(min = 0, max = 2) int doublings) {
        RelayFleet fleet = new RelayFleet(64 << doublings, 46);
        fleet.run(60 * SECOND);
        fleet.reads = 0;
        fleet.run(120 * SECOND);
        int watches = 6 * 13;
        int checks = 64 * 8;
        assertThat(fleet.reads).isLessThanOrEqualTo(watches + checks);
    }

    /**
     * An operator names the wrong base in a patch. Every daemon must refuse it alike, and the next good patch must not
     * be held up by it.
     */
    @Property(seed = "47", tries = 20)
    void refusedPatchLeavesTheNumberAndTheNextOneGoesOn(
            @ForAll @IntRange(min = 1, max = 10) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        fleet.run(15 * SECOND);
        fleet.publishPatch(true);
        fleet.run(5 * SECOND);
        assertThat(fleet.nodes.values()).allSatisfy(relay -> {
            assertThat(relay.position()).isEqualTo(2);
            assertThat(relay.inForce().orElseThrow().number()).isEqualTo(1);
        });
        fleet.publishPatch(false);
        fleet.run(5 * SECOND);
        assertThat(fleet.allAtReference()).isTrue();
        assertThat(fleet.reference.number()).isEqualTo(3);
    }

    private static void trouble(RelayFleet fleet, int size, Random random) {
        fleet.wire.clearFaults();
        fleet.wire.setFaults(random.nextDouble() * 0.4, 0.2, random.nextLong(300 * SimulatedNetwork.MILLISECOND) + 1);
        for (int i = 0; i < size / 2; i++) {
            fleet.wire.blockLink(random.nextInt(size), random.nextInt(size));
        }
        fleet.serviceDown = random.nextInt(4) == 0;
        fleet.staleHead = random.nextInt(4) == 0 ? 1 + random.nextInt(5) : Long.MAX_VALUE;
        publishSome(fleet, random.nextInt(3));
        if (random.nextInt(5) == 0) {
            String whole = new String(fleet.reference.content().orElseThrow().bytes(), StandardCharsets.UTF_8);
            fleet.publish(true, whole + " again");
        }
        if (random.nextInt(6) == 0) {
            fleet.publishPatch(true);
        }
        int node = random.nextInt(size);
        switch (random.nextInt(3)) {
            case 0 -> fleet.wire.pause(node, random.nextLong(10 * SECOND));
            case 1 -> fleet.start(node);
            default -> fleet.run(SECOND);
        }
    }

    private static void publishSome(RelayFleet fleet, int count) {
        for (int i = 0; i < count; i++) {
            fleet.publishPatch(false);
        }
    }

    private static void assertNumbersRise(RelayFleet fleet) {
        for (List<Long> numbers : fleet.inForce.values()) {
            assertThat(numbers).isSorted();
        }
    }
}
