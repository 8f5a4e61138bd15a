package org.dotterelcourse.policy.cell;

/**
 * Service-level terms of a request class, as configured by an operator.
 *
 * @param name name of the class
 * @param tier priority, from {@link #HIGHEST_TIER} to {@link #LOWEST_TIER}
 * @param minimumShare fraction of the cell's work, 0 to 1, that the class receives under any load; 0 for none of its
 *     own
 * @param maxWaiting maximum number of queued requests of the class in one cell
 * @param lateIsUseless whether an answer after its target has no value for the caller
 * @param targetNanos target time in nanoseconds from arrival to the first token (engine) or to the whole answer (plain
 *     service)
 * @param tokenIntervalNanos target time between tokens in nanoseconds; 0 for a plain service
 * @param maxOutputTokens maximum number of tokens of an answer; 1 for a plain service
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
