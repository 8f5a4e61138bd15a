package org.dotterelcourse.policy.cell;

/**
 * What an operator has promised for a request class, as far as decisions need it.
 *
 * @param name the class's name
 * @param tier 1 is the highest, 4 the lowest
 * @param minimumShare the fraction of the cell's work that the class gets under any load, 0 to 1
 * @param maxWaiting how many requests of the class may wait in one cell
 * @param lateIsUseless whether an answer after its target is worth nothing to the caller
 * @param targetNanos from arrival to the first token (engine) or to the whole answer (plain service)
 * @param tokenIntervalNanos the target between tokens; 0 for a plain service
 * @param maxOutputTokens the most tokens an answer may have; 1 for a plain service
 */
public record ClassTerms(
        String name,
        int tier,
        double minimumShare,
        int maxWaiting,
        boolean lateIsUseless,
        long targetNanos,
        long tokenIntervalNanos,
        int maxOutputTokens) {
    /** The most urgent tier. */
    public static final int HIGHEST_TIER = 1;

    /** The least urgent tier. */
    public static final int LOWEST_TIER = 4;
}
