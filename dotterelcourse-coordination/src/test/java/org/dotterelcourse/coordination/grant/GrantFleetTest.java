package org.dotterelcourse.coordination.grant;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

class GrantFleetTest {
    private static final long MILLI = GrantFleet.MILLI;
    private static final long LONG_LOCAL = 3_600_000 * MILLI;
    private static final long VIEW_DELAY = 300 * MILLI;
    private static final int MEMBERS = 4;
    private static final int ROUNDS = 40;

    /**
     * Packets are lost, doubled and reordered, askers pause for less than a lease, and askers die. A user would notice
     * workers that get more than they can run, as slow answers.
     */
    @Property(tries = 60, seed = "11", shrinking = ShrinkingMode.OFF)
    void oneOwnerNeverRunsMoreThanTheCapacity(@ForAll long seed) {
        GrantFleet fleet = new GrantFleet(seed, MEMBERS, settings(LONG_LOCAL), VIEW_DELAY);
        fleet.wire.faults(0.1, 0.1, 60 * MILLI);
        for (int round = 0; round < ROUNDS; round++) {
            load(fleet, 5);
            GrantNode asker = fleet.nodes.get(1 + fleet.random.nextInt(MEMBERS - 1));
            if (fleet.random.nextInt(4) == 0 && asker.alive && !asker.paused()) {
                asker.pause(fleet.random.nextLong(1_500 * MILLI));
            } else if (fleet.random.nextInt(6) == 0 && asker.alive) {
                asker.crash();
            } else if (!asker.alive) {
                asker.restart();
                asker.sees(fleet.ownerOf(0), fleet.now);
            }
            fleet.run(100 * MILLI);
        }
        assertThat(fleet.mostActive).isEqualTo(GrantFleet.PLACES);
        healsAndDrains(fleet);
    }

    /**
     * The owner dies, again and again, and another member takes over while requests of the old owner's grants still
     * run. A user would notice a take-over as workers with too much work.
     */
    @Property(tries = 60, seed = "12", shrinking = ShrinkingMode.OFF)
    void takeOversDoNotRunMoreThanTheCapacity(@ForAll long seed) {
        GrantFleet fleet = new GrantFleet(seed, MEMBERS, settings(LONG_LOCAL), VIEW_DELAY);
        fleet.wire.faults(0.05, 0.1, 40 * MILLI);
        for (int round = 0; round < ROUNDS; round++) {
            load(fleet, 5);
            if (round % 10 == 5) {
                fleet.node(fleet.ownerOf(0).orElseThrow()).crash();
                fleet.publishOwners();
            } else if (round % 10 == 0) {
                fleet.nodes.stream().filter(node -> !node.alive).forEach(GrantNode::restart);
                fleet.publishOwners();
            }
            fleet.run(200 * MILLI);
        }
        assertThat(fleet.mostActive).isEqualTo(GrantFleet.PLACES);
        healsAndDrains(fleet);
    }

    /**
     * A partition splits the fleet and each part has an owner that believes to be the only one. A user notices slower
     * answers, because workers may get up to twice their share.
     */
    @Property(tries = 60, seed = "13", shrinking = ShrinkingMode.OFF)
    void twoOwnersInPartitionRunAtMostTwiceTheCapacity(@ForAll long seed) {
        GrantFleet fleet = new GrantFleet(seed, MEMBERS, settings(LONG_LOCAL), VIEW_DELAY);
        fleet.wire.faults(0.05, 0.05, 40 * MILLI);
        for (int round = 0; round < ROUNDS; round++) {
            load(fleet, 8);
            if (round == ROUNDS / 4) {
                split(fleet);
            } else if (round == 3 * ROUNDS / 4) {
                heal(fleet);
            }
            fleet.run(250 * MILLI);
        }
        assertThat(fleet.mostActive).isBetween(GrantFleet.PLACES + 1, 2 * GrantFleet.PLACES);
        healsAndDrains(fleet);
    }

    /**
     * No owner can be reached, so that each member grants by itself from its fraction. A user notices that urgent work
     * is not always first any more, but it is still served.
     */
    @Property(tries = 40, seed = "14", shrinking = ShrinkingMode.OFF)
    void withoutAnOwnerEachMemberServesItsFraction(@ForAll long seed) {
        GrantFleet fleet = new GrantFleet(seed, MEMBERS, settings(600 * MILLI), VIEW_DELAY);
        fleet.run(3_000 * MILLI);
        fleet.nodes.forEach(node -> node.sees(java.util.Optional.empty(), fleet.now));
        fleet.run(1_000 * MILLI);
        for (int round = 0; round < ROUNDS; round++) {
            load(fleet, 5);
            fleet.run(100 * MILLI);
        }
        assertThat(fleet.nodes).allMatch(GrantNode::isLocalMode);
        assertThat(fleet.mostActive).isBetween(1, GrantFleet.PLACES);
        fleet.publishOwners();
        healsAndDrains(fleet);
        assertThat(fleet.nodes).noneMatch(GrantNode::isLocalMode);
    }

    /**
     * The owner pauses again and again for longer than its askers wait, so that they grant by themselves, and wakes up
     * believing that it owns the queue still. A user notices slower answers, because workers may get up to twice their
     * share.
     */
    @Property(tries = 40, seed = "16", shrinking = ShrinkingMode.OFF)
    void anOwnerThatPausesAndWakesLeadsToAtMostTwiceTheCapacity(@ForAll long seed) {
        GrantFleet fleet = new GrantFleet(seed, MEMBERS, settings(600 * MILLI), VIEW_DELAY);
        fleet.wire.faults(0.05, 0.1, 40 * MILLI);
        for (int round = 0; round < ROUNDS; round++) {
            load(fleet, 8);
            if (round % 8 == 4) {
                fleet.nodes.get(0).pause((700 + fleet.random.nextLong(1_500)) * MILLI);
            }
            fleet.run(250 * MILLI);
        }
        assertThat(fleet.mostActive).isBetween(GrantFleet.PLACES, 2 * GrantFleet.PLACES);
        healsAndDrains(fleet);
    }

    /**
     * Everything at once: heavy loss, pauses longer than a lease, deaths, partitions, changes of owner and local mode.
     * A user would notice a request that ran twice, that ran although it was said not to, or that never got an answer.
     */
    @Property(tries = 150, seed = "15", shrinking = ShrinkingMode.OFF)
    void nothingRunsTwiceAndEveryAskIsAnsweredOnceTheFleetHeals(@ForAll long seed) {
        GrantFleet fleet = new GrantFleet(seed, MEMBERS, settings(600 * MILLI), VIEW_DELAY);
        fleet.wire.faults(0.2, 0.2, 400 * MILLI);
        for (int round = 0; round < ROUNDS; round++) {
            load(fleet, 4);
            disturb(fleet);
            fleet.run(fleet.random.nextLong(500 * MILLI));
        }
        healsAndDrains(fleet);
    }

    private static void disturb(GrantFleet fleet) {
        GrantNode node = fleet.anyNode();
        switch (fleet.random.nextInt(8)) {
            case 0 -> node.pause(fleet.random.nextLong(6_000 * MILLI));
            case 1 -> {
                if (node.alive) {
                    node.crash();
                } else {
                    node.restart();
                }
                fleet.publishOwners();
            }
            case 2 -> split(fleet);
            case 3 -> heal(fleet);
            default -> {}
        }
    }

    private static void split(GrantFleet fleet) {
        for (int i = 0; i < fleet.nodes.size(); i++) {
            fleet.wire.assignPartition(fleet.nodes.get(i).name, i % 2);
        }
        fleet.publishOwners();
    }

    private static void heal(GrantFleet fleet) {
        fleet.nodes.forEach(node -> fleet.wire.assignPartition(node.name, 0));
        fleet.publishOwners();
    }

    private static void load(GrantFleet fleet, int count) {
        for (int i = 0; i < count; i++) {
            GrantNode node = fleet.anyNode();
            if (node.alive) {
                fleet.request(node, (50 + fleet.random.nextLong(600)) * MILLI);
            }
        }
    }

    /**
     * Every waiting ask is answered within: the views' delay, the local fall-back, the settle time, a lease (for grants
     * whose asker is gone), and the time the workers need for everything that waits.
     */
    private static void healsAndDrains(GrantFleet fleet) {
        fleet.wire.faults(0, 0, MILLI);
        fleet.nodes.stream().filter(node -> !node.alive).forEach(GrantNode::restart);
        fleet.nodes.forEach(node -> node.pause(0));
        heal(fleet);
        GrantSettings settings = fleet.settings;
        long drain = 650 * MILLI * (1 + fleet.unanswered() / (3 * GrantFleet.PLACES));
        long protocol = VIEW_DELAY + settings.settleNanos() + settings.leaseNanos() + 2 * settings.renewNanos();
        fleet.run(protocol + drain);
        assertThat(fleet.unanswered()).isZero();
        fleet.run(2 * settings.leaseNanos());
        assertThat(fleet.nodes).allMatch(node -> node.size() == 0);
        assertThat(fleet.nodes).allMatch(node -> node.owner == null || node.owner.size() == 0);
        assertThat(fleet.active.values()).allMatch(count -> count == 0);
    }

    private static GrantSettings settings(long localAfter) {
        return GrantSettings.builder()
                .lease(3_000 * MILLI, 300 * MILLI)
                .settle(1_000 * MILLI)
                .timeouts(150 * MILLI, localAfter)
                .build();
    }
}
