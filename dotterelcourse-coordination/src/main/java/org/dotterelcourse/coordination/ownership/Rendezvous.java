package org.dotterelcourse.coordination.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Rendezvous hashing: each node has a weight for each key, and the highest has it. */
public final class Rendezvous {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Rendezvous() {}

    /**
     * The weight of a node for a key; the same in every process and release.
     *
     * @param key the key
     * @param node the node's name
     * @return the weight, to be compared unsigned
     */
    public static long weight(String key, String node) {
        return HASHER.hashStream().putString(key).putString(node).getAsLong();
    }

    /**
     * Orders nodes for a key, the highest weight first. A node that goes hands each of its keys to the next in that
     * key's order; all other keys stay.
     *
     * @param key the key
     * @param nodes the nodes' names
     * @return the names in order
     */
    public static List<String> order(String key, Collection<String> nodes) {
        List<Weighted> weighted = new ArrayList<>(nodes.size());
        for (String node : nodes) {
            weighted.add(new Weighted(node, weight(key, node)));
        }
        weighted.sort(Weighted.HIGHEST_FIRST);
        List<String> order = new ArrayList<>(nodes.size());
        for (Weighted each : weighted) {
            order.add(each.node);
        }
        return order;
    }

    private record Weighted(String node, long weight) {
        private static final Comparator<Weighted> HIGHEST_FIRST = (a, b) -> {
            int byWeight = Long.compareUnsigned(b.weight, a.weight);
            return byWeight != 0 ? byWeight : a.node.compareTo(b.node);
        };
    }
}
