package org.dotterelcourse.policy.selection;

/**
 * What it takes an engine to fetch parts of a prompt from another engine that has read them.
 *
 * @param millisPerToken time on the link for a token; infinite if engines can't fetch
 */
public record TransferCost(double millisPerToken) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    /** Time until a transfer begins; 1.7 and 2.5 ms in the engines in use (data sheets). */
    private static final double SETUP_MILLIS = 3;

    /** Of engines that can't fetch. */
    public static TransferCost unsupported() {
        return new TransferCost(Double.POSITIVE_INFINITY);
    }

    /**
     * Of engines with a link.
     *
     * @param bytesPerToken what an engine keeps of a token
     * @param megabitsPerSecond the link of an engine
     * @return none if a figure is missing, that is, zero
     */
    public static TransferCost ofLink(double bytesPerToken, double megabitsPerSecond) {
        boolean known = bytesPerToken > 0 && megabitsPerSecond > 0;
        return known
                ? new TransferCost(bytesPerToken * BITS_PER_BYTE / (megabitsPerSecond * BITS_PER_MEGABIT_MILLI))
                : unsupported();
    }

    double millis(int tokens) {
        return tokens <= 0 ? 0 : SETUP_MILLIS + tokens * millisPerToken;
    }
}
