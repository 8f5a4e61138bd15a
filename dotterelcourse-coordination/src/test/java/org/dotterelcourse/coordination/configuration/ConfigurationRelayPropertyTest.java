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
     * Messages are lost, duplicated and delayed, processes pause and restart, and the service is down or stale while
     * changes are published. If a daemon went back to an older number, a caller would lose a limit or class that it
     * just got.
     */
    @Property(seed = "41", tries = 25)
    void numberInForceNeverDecreasesAndConvergesAfterFaults(
            @ForAll @IntRange(min = 1, max = 14) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        Random random = new Random(seed);
        for (int round = 0; round < 20; round++) {
            injectFaults(fleet, size, random);
            fleet.run(random.nextLong(6 * SECOND) + 1);
            assertNumbersRise(fleet);
        }
        fleet.network.clearFaults();
        fleet.serviceDown = false;
        fleet.visibleHead = Long.MAX_VALUE;
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
     * VMs are replaced while the configuration service is down for hours. A new daemon can't serve requests without a
     * configuration, so it must get the fleet's configuration from its peers.
     */
    @Property(seed = "43", tries = 20)
    void newProcessGetsTheFleetsConfigurationWhileTheServiceIsDown(
            @ForAll @IntRange(min = 2, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        publishPatches(fleet, 5);
        fleet.run(15 * SECOND);
        fleet.serviceDown = true;
        fleet.start(0);
        fleet.run(4 * SECOND);
        assertThat(fleet.allAtReference()).isTrue();
    }

    /**
     * A VM is replaced while the service is restored from an old copy. If the new daemon used the entries of the
     * service, it would apply outdated limits and classes.
     */
    @Property(seed = "44", tries = 20)
    void staleServiceRevertsNoProcessAndMisleadsNoNewProcess(
            @ForAll @IntRange(min = 4, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        publishPatches(fleet, 8);
        fleet.run(15 * SECOND);
        fleet.visibleHead = 3;
        fleet.network.setFaults(0, 0, 300 * SimulatedNetwork.MILLISECOND);
        fleet.start(1);
        fleet.run(60 * SECOND);
        assertThat(fleet.inForce.get(1)).containsExactly(fleet.reference.number());
        assertThat(fleet.allAtReference()).isTrue();
        assertThat(fleet.alarms).hasAtLeastOneElementOfType(RelayAlarm.ServiceBehind.class);
    }

    /**
     * By a fault, the service gives one reader a different body under the same number. Without the comparison of
     * digests, two parts of the fleet would apply different configurations, and both would consider themselves up to
     * date.
     */
    @Property(seed = "45", tries = 20)
    void differentDigestsForOneNumberAreDetectedAndCorrected(
            @ForAll @IntRange(min = 4, max = 12) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        RelayFleet fleet = new RelayFleet(size, seed);
        fleet.run(15 * SECOND);
        fleet.misledReader = 0;
        fleet.network.pause(0, SECOND);
        fleet.publishPatch(false);
        fleet.run(120 * SECOND);
        assertThat(fleet.allAtReference()).isTrue();
        boolean wasMisled = fleet.misledReader < 0;
        assertThat(fleet.alarms.stream().anyMatch(RelayAlarm.DigestMismatch.class::isInstance))
                .isEqualTo(wasMisled);
        assertNumbersRise(fleet);
    }

    /**
     * All daemons share the read quota of the service, which grows more slowly than the fleet. If each daemon checked
     * the service at a fixed period, a larger fleet would exhaust the quota, and no daemon would see a change in time.
     */
    @Property(seed = "46", tries = 3)
    void readsOfAnUnchangedServiceDoNotGrowWithTheFleet(@ForAll @IntRange(min = 0, max = 2) int doublings) {
        RelayFleet fleet = new RelayFleet(64 << doublings, 46);
        fleet.run(60 * SECOND);
        fleet.reads = 0;
        fleet.run(120 * SECOND);
        int watches = 6 * 13;
        int checks = 64 * 8;
        assertThat(fleet.reads).isLessThanOrEqualTo(watches + checks);
    }

    /**
     * An operator publishes a patch with a wrong base. Every daemon must refuse it, and it must not block the next
     * valid patch.
     */
    @Property(seed = "47", tries = 20)
    void refusedPatchKeepsTheNumberAndTheNextPatchIsAccepted(
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

    private static void injectFaults(RelayFleet fleet, int size, Random random) {
        fleet.network.clearFaults();
        fleet.network.setFaults(
                random.nextDouble() * 0.4, 0.2, random.nextLong(300 * SimulatedNetwork.MILLISECOND) + 1);
        for (int i = 0; i < size / 2; i++) {
            fleet.network.blockLink(random.nextInt(size), random.nextInt(size));
        }
        fleet.serviceDown = random.nextInt(4) == 0;
        fleet.visibleHead = random.nextInt(4) == 0 ? 1 + random.nextInt(5) : Long.MAX_VALUE;
        publishPatches(fleet, random.nextInt(3));
        if (random.nextInt(5) == 0) {
            String whole = new String(fleet.reference.content().orElseThrow().bytes(), StandardCharsets.UTF_8);
            fleet.publish(true, whole + " again");
        }
        if (random.nextInt(6) == 0) {
            fleet.publishPatch(true);
        }
        int node = random.nextInt(size);
        switch (random.nextInt(3)) {
            case 0 -> fleet.network.pause(node, random.nextLong(10 * SECOND));
            case 1 -> fleet.start(node);
            default -> fleet.run(SECOND);
        }
    }

    private static void publishPatches(RelayFleet fleet, int count) {
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
