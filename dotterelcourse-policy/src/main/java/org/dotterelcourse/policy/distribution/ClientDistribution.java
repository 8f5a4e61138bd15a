package org.dotterelcourse.policy.distribution;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import org.dotterelcourse.policy.selection.RankHash;

/**
 * Selects the addresses that a client is told, so that VMs get clients in proportion to their spare capacity.
 *
 * <p>It handles a fleet of unequal VMs: a client picks one of the addresses at random for each connection, so with all
 * addresses in each response a VM of 0.27 cores gets as many requests as one of 1.5 cores, and a burst overloads the small
 * ones while the large ones are mostly idle. The members with the highest weight are in each response, others in a fraction
 * of the responses that equals their weight relative to the highest. Which clients are told a member follows from a hash of
 * client and member, so that the responses to one client change little and it can keep its connections.
 *
 * <p>Fleets of equal VMs without load differences get all addresses.
 */
public final class ClientDistribution {
    /** Capacities that differ by less count as equal: the gain would not outweigh the connections that clients close. */
    private static final double MIN_CAPACITY_RATIO = 1.25;

    /** Bounds of the capacity ratio between two members; an implausible value must not attract or repel all clients. */
    private static final double MAX_CAPACITY_RATIO = 16;

    /** Smallest expected number of addresses: a client leaves out those that have failed it and needs others. */
    private static final double MIN_ADDRESSES = 8;

    /** Smallest expected fraction of the members in a response, so that the loss of the largest VMs leaves enough. */
    private static final double MIN_FRACTION = 0.25;

    /** Weight of a fully loaded member relative to an idle one. Not zero, so that its load is measured further on. */
    private static final double FULL_LOAD_WEIGHT = 0.3;

    /** Weight of a member whose code is not compiled yet: a request there takes about twice the processor time. */
    private static final double WARMING_WEIGHT = 0.5;

    private static final double PERMILLE = 1_000;

    /** Range of an unsigned 32-bit hash. */
    private static final double HASH_RANGE = 4_294_967_296.0;

    private ClientDistribution() {}

    /**
     * Selects the addresses for one response.
     *
     * @param members all processes that serve clients
     * @param client identifies the client; equal values mostly get the same addresses
     * @return addresses in the order of the members; at least one unless there are no members
     */
    public static List<String> select(List<ServingMember> members, String client) {
        double[] weights = weights(members);
        if (isEven(weights)) {
            return members.stream().map(ServingMember::address).toList();
        }
        double reference = reference(weights);
        List<String> selected = IntStream.range(0, weights.length)
                .filter(i -> position(client, members.get(i).address()) < weights[i] / reference)
                .mapToObj(i -> members.get(i).address())
                .toList();
        return selected.isEmpty() ? members.stream().map(ServingMember::address).toList() : selected;
    }

    private static double[] weights(List<ServingMember> members) {
        double[] known = members.stream()
                .mapToDouble(ServingMember::capacityMillicores)
                .filter(capacity -> capacity > 0)
                .sorted()
                .toArray();
        if (known.length == 0) {
            return members.stream().mapToDouble(member -> 1).toArray();
        }
        double median = known[known.length / 2];
        double mean = Arrays.stream(known)
                .map(each -> bounded(each, median))
                .average()
                .orElse(median);
        boolean mostAreWarming =
                2 * members.stream().filter(ServingMember::warming).count() >= members.size();
        return members.stream()
                .mapToDouble(member -> {
                    double capacity =
                            member.capacityMillicores() > 0 ? bounded(member.capacityMillicores(), median) : mean;
                    return capacity
                            * spareFraction(member)
                            * (member.warming() && !mostAreWarming ? WARMING_WEIGHT : 1);
                })
                .toArray();
    }

    private static double bounded(double capacity, double median) {
        return Math.max(median / MAX_CAPACITY_RATIO, Math.min(median * MAX_CAPACITY_RATIO, capacity));
    }

    private static double spareFraction(ServingMember member) {
        double load = Math.max(0, Math.min(PERMILLE, member.loadPermille())) / PERMILLE;
        return 1 - load * (1 - FULL_LOAD_WEIGHT);
    }

    private static boolean isEven(double[] weights) {
        double min = Arrays.stream(weights).min().orElse(1);
        double max = Arrays.stream(weights).max().orElse(1);
        return max < MIN_CAPACITY_RATIO * min;
    }

    /**
     * Weight from which on a member is in each response: the highest weight, or a lower one if too few addresses were
     * expected otherwise.
     */
    private static double reference(double[] weights) {
        double wanted = Math.min(weights.length, Math.max(MIN_ADDRESSES, MIN_FRACTION * weights.length));
        double[] descending = Arrays.stream(weights)
                .map(each -> -each)
                .sorted()
                .map(each -> -each)
                .toArray();
        for (double candidate : descending) {
            if (Arrays.stream(weights)
                            .map(each -> Math.min(1, each / candidate))
                            .sum()
                    >= wanted) {
                return candidate;
            }
        }
        return descending[descending.length - 1];
    }

    /** Position of a member for a client, uniformly distributed between 0 and 1. */
    private static double position(String client, String address) {
        return Integer.toUnsignedLong(RankHash.hash(client.hashCode(), address)) / HASH_RANGE;
    }
}
