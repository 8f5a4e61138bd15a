package org.dotterelcourse.policy.selection;

/** Hashes names to ranks that are the same in all processes, for example for rendezvous hashing. */
public final class RankHash {
    private static final int SEED = 0x9747b28c;
    private static final int MULTIPLIER = 0x5bd1e995;
    private static final int OUTER_SHIFT = 13;
    private static final int INNER_SHIFT = 15;

    private RankHash() {}

    /**
     * Hashes a name with the finalization steps of MurmurHash2. {@link String#hashCode()} alone would give adjacent ranks
     * to names that differ only in their last character.
     *
     * @param name name to rank
     * @return rank of the name
     */
    public static int hash(String name) {
        return hash(0, name);
    }

    /**
     * Hashes a name together with a key, so that each key yields its own order of the names.
     *
     * @param key hash of the key, such as that of a prompt part
     * @param name name to rank
     * @return rank of the name for this key
     */
    public static int hash(int key, String name) {
        int h = key * MULTIPLIER ^ name.hashCode() ^ SEED;
        h ^= h >>> OUTER_SHIFT;
        h *= MULTIPLIER;
        h ^= h >>> INNER_SHIFT;
        h *= MULTIPLIER;
        return h ^ h >>> OUTER_SHIFT;
    }
}
