package org.dotterelcourse.policy.selection;

/** The order in which every process ranks names, the same in all of them. */
final class RankHash {
    private static final int SEED = 0x9747b28c;
    private static final int FACTOR = 0x5bd1e995;
    private static final int SHIFT_UP = 13;
    private static final int SHIFT_DOWN = 15;

    private RankHash() {}

    /**
     * Mixes a name's hash, by the finishing steps of MurmurHash2: {@link String#hashCode()} alone keeps names that
     * differ in their last letter side by side.
     *
     * @param name the name
     * @return its rank
     */
    static int mix(String name) {
        return mix(0, name);
    }

    /**
     * Mixes a name's hash with a key, for an order of its own by each key.
     *
     * @param key the key
     * @param name the name
     * @return its rank
     */
    static int mix(int key, String name) {
        int h = key * FACTOR ^ name.hashCode() ^ SEED;
        h ^= h >>> SHIFT_UP;
        h *= FACTOR;
        h ^= h >>> SHIFT_DOWN;
        h *= FACTOR;
        return h ^ h >>> SHIFT_UP;
    }
}
