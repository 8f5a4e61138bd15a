package org.dotterelcourse.coordination.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Rendezvous hashing: each node has a weight for each key, and a key is assigned to the node with the highest one. */
public final class Rendezvous {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Rendezvous() {}

    /**
     * Returns the weight of a node for a key. It is the same in all processes and releases.
     *
     * @param key the key to assign
     * @param node the node's name
     * @return the weight, to be compared as an unsigned number
     */
    public static long weight(String key, String node) {
        return HASHER.hashStream().putString(key).putString(node).getAsLong();
    }

    /**
     * Orders nodes by their weights for a key, highest first. If a node is removed, each of its keys moves to the next
     * node in that key's order, and all other keys stay where they are.
     *
     * @param key the key to assign
     * @param nodes the nodes' names
     * @return the names in order
     */
    public static List<String> order(String key, Collection<String> nodes) {
        List<WeightedNode> weighted = new ArrayList<>(nodes.size());
        for (String node : nodes) {
            weighted.add(new WeightedNode(node, weight(key, node)));
        }
        weighted.sort(WeightedNode.HIGHEST_FIRST);
        List<String> order = new ArrayList<>(nodes.size());
        for (WeightedNode candidate : weighted) {
            order.add(candidate.node);
        }
        return order;
    }

    private record WeightedNode(String node, long weight) {
        private static final Comparator<WeightedNode> HIGHEST_FIRST = (a, b) -> {
            int byWeight = Long.compareUnsigned(b.weight, a.weight);
            return byWeight != 0 ? byWeight : a.node.compareTo(b.node);
        };
    }
}
