package org.dotterelcourse.policy.selection;

/**
 * Estimates the time that an engine takes to fetch cached parts of a prompt from another engine.
 *
 * @param millisPerToken transfer time per token in milliseconds; infinite if the engines cannot fetch
 */
public record TransferCost(double millisPerToken) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_AT_ONE_MEGABIT_PER_SECOND = 1_000;

    /** Time until a transfer begins: the data sheets of the engines in use give 1.7 and 2.5 ms. */
    private static final double SETUP_MILLIS = 3;

    /**
     * Returns the cost for engines that cannot fetch from each other.
     *
     * @return an infinite cost per token
     */
    public static TransferCost unsupported() {
        return new TransferCost(Double.POSITIVE_INFINITY);
    }

    /**
     * Returns the cost for engines that fetch over a link.
     *
     * @param bytesPerToken size of the cached state of one token in bytes; 0 if unknown
     * @param megabitsPerSecond bandwidth of an engine's link in Mbit/s; 0 if unknown
     * @return the cost of that link; {@link #unsupported()} if a value is unknown
     */
    public static TransferCost ofLink(double bytesPerToken, double megabitsPerSecond) {
        boolean hasLinkData = bytesPerToken > 0 && megabitsPerSecond > 0;
        return hasLinkData
                ? new TransferCost(
                        bytesPerToken * BITS_PER_BYTE / (megabitsPerSecond * BITS_PER_MILLI_AT_ONE_MEGABIT_PER_SECOND))
                : unsupported();
    }

    double millis(int tokens) {
        return tokens <= 0 ? 0 : SETUP_MILLIS + tokens * millisPerToken;
    }
}
