package org.dotterelcourse.policy.cold;

/**
 * What the workers of an upstream bear while they are cold.
 *
 * @param millis how long a worker is cold after its start
 * @param perSecond how many requests a cold worker bears in a second, from all processes together
 */
public record ColdStart(long millis, double perSecond) {
    private static final ColdStart NONE = new ColdStart(0, 0);

    /** Of workers that bear as much when cold as ever. */
    public static ColdStart none() {
        return NONE;
    }

    /**
     * Whether cold workers bear less than others.
     *
     * @return false if nothing is to be heeded
     */
    public boolean hasRateLimit() {
        return millis > 0 && perSecond > 0;
    }
}
