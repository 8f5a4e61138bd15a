package org.dotterelcourse.policy.cold;

/**
 * Configured rate limit of the workers of one upstream during their cold start.
 *
 * @param millis duration of the cold start in milliseconds; 0 if there is none
 * @param perSecond requests per second that one cold worker can take from all processes together; 0 for no limit
 */
public record ColdStart(long millis, double perSecond) {
    private static final ColdStart NONE = new ColdStart(0, 0);

    /**
     * Returns the setting of an upstream whose workers take the full load from their start.
     *
     * @return a cold start without duration and limit
     */
    public static ColdStart none() {
        return NONE;
    }

    /**
     * Whether cold workers have a rate limit.
     *
     * @return true if both the duration and the limit are set
     */
    public boolean hasRateLimit() {
        return millis > 0 && perSecond > 0;
    }
}
