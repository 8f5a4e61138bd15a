package org.dotterelcourse.policy.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ClientDistributionTest {
    private static final int SMALL = 270;
    private static final int MEDIUM = 900;
    private static final int LARGE = 1_500;

    private static List<ServingMember> unevenFleet() {
        List<ServingMember> members = new ArrayList<>();
        add(members, 59, SMALL);
        add(members, 19, MEDIUM);
        add(members, 8, LARGE);
        return members;
    }

    private static void add(List<ServingMember> members, int count, int capacity) {
        for (int i = 0; i < count; i++) {
            members.add(new ServingMember("10.0.0." + members.size() + ":80", capacity, 0, false));
        }
    }

    /** Connections per member if each of many clients picks one of its addresses at random a few times. */
    private static Map<String, Integer> connections(List<ServingMember> members) {
        Random random = new Random(1);
        Map<String, Integer> connections = new HashMap<>();
        for (int client = 0; client < 4_000; client++) {
            List<String> addresses = ClientDistribution.select(members, "client-" + client);
            for (int i = 0; i < 5; i++) {
                connections.merge(addresses.get(random.nextInt(addresses.size())), 1, Integer::sum);
            }
        }
        return connections;
    }

    private static double meanConnections(List<ServingMember> members, Map<String, Integer> connections, int capacity) {
        return members.stream()
                .filter(member -> member.capacityMillicores() == capacity)
                .mapToInt(member -> connections.getOrDefault(member.address(), 0))
                .average()
                .orElseThrow();
    }

    // Guards against a burst that overloads the small VMs of an uneven fleet while the large ones are mostly idle.
    @Test
    void clientsAreDistributedByCapacity() {
        List<ServingMember> members = unevenFleet();
        Map<String, Integer> connections = connections(members);
        double small = meanConnections(members, connections, SMALL);
        assertThat(meanConnections(members, connections, MEDIUM) / small).isBetween(2.7, 4.0);
        assertThat(meanConnections(members, connections, LARGE) / small).isBetween(4.5, 6.7);
        assertThat(connections).hasSize(members.size());
    }

    // Guards against clients that close most of their connections because a member has left the fleet.
    @Test
    void aClientKeepsItsOtherAddressesWhenAMemberLeaves() {
        List<ServingMember> members = unevenFleet();
        List<String> before = ClientDistribution.select(members, "client");
        assertThat(before).hasSizeBetween(15, 64);
        members.removeIf(member -> member.address().equals(before.get(0)));
        List<String> after = ClientDistribution.select(members, "client");
        assertThat(after).containsAll(before.subList(1, before.size())).hasSize(before.size() - 1);
    }

    // Guards against clients that know no running router for as long as they keep a response after the large VMs are
    // lost.
    @Test
    void theLossOfAllLargeVmsLeavesEachClientSeveralAddresses() {
        List<ServingMember> members = unevenFleet();
        List<String> lost = members.stream()
                .filter(member -> member.capacityMillicores() == LARGE)
                .map(ServingMember::address)
                .toList();
        for (int client = 0; client < 500; client++) {
            List<String> left = new ArrayList<>(ClientDistribution.select(members, "client-" + client));
            left.removeAll(lost);
            assertThat(left).hasSizeGreaterThanOrEqualTo(4);
        }
    }

    @Test
    void aFleetOfEqualVmsGetsAllAddresses() {
        List<ServingMember> members = new ArrayList<>();
        add(members, 60, 750);
        assertThat(ClientDistribution.select(members, "client")).hasSize(60);
    }

    @Test
    void membersOfUnknownCapacityCountAsTheMean() {
        List<ServingMember> members = unevenFleet();
        members.add(new ServingMember("10.0.1.1:80", 0, 0, false));
        int mean = (59 * SMALL + 19 * MEDIUM + 8 * LARGE) / 86;
        Map<String, Integer> connections = connections(members);
        double small = meanConnections(members, connections, SMALL);
        assertThat(connections.get("10.0.1.1:80") / small).isBetween(0.6 * mean / SMALL, 1.6 * mean / SMALL);
    }

    // Guards against a router that is overloaded by a burst and still gets its full part of new clients.
    @Test
    void aLoadedMemberGetsFewerClients() {
        List<ServingMember> members = new ArrayList<>();
        add(members, 20, MEDIUM);
        members.set(0, new ServingMember(members.get(0).address(), MEDIUM, 1_000, false));
        Map<String, Integer> connections = connections(members);
        assertThat(connections.get(members.get(0).address()))
                .isLessThan(connections.get(members.get(1).address()) / 2)
                .isPositive();
    }

    // Guards against a whole fleet that has just restarted and returns hardly any addresses.
    @Test
    void recentStartsAreIgnoredIfMostMembersHaveStartedRecently() {
        List<ServingMember> members = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            members.add(new ServingMember("10.0.0." + i + ":80", MEDIUM, 0, i < 12));
        }
        assertThat(ClientDistribution.select(members, "client")).hasSize(20);
    }

    @Test
    void aMemberThatHasStartedRecentlyGetsFewerClients() {
        List<ServingMember> members = new ArrayList<>();
        add(members, 20, MEDIUM);
        members.set(0, new ServingMember(members.get(0).address(), MEDIUM, 0, true));
        Map<String, Integer> connections = connections(members);
        assertThat(connections.get(members.get(0).address()))
                .isBetween(
                        connections.get(members.get(1).address()) / 3,
                        connections.get(members.get(1).address()) * 2 / 3);
    }

    // Guards against one implausible capacity in a peer's report that attracts all clients, or against an empty
    // response.
    @Property(tries = 100, seed = "71")
    void implausibleValuesLeaveEnoughAddresses(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(min = Integer.MIN_VALUE) Integer> capacities,
            @ForAll int load) {
        List<ServingMember> members = new ArrayList<>();
        for (int capacity : capacities) {
            members.add(new ServingMember("10.0.0." + members.size() + ":80", capacity, load, false));
        }
        assertThat(ClientDistribution.select(members, "client")).isNotEmpty();
        long total = 0;
        for (int client = 0; client < 200; client++) {
            total += ClientDistribution.select(members, "client-" + client).size();
        }
        assertThat(total / 200.0).isGreaterThan(Math.min(8, capacities.size()) * 0.7);
    }
}
