package org.dotterelcourse.coordination.limit;

/**
 * Token bucket parameters of a customer: a steady rate, and a burst on top of it after a period of lower use.
 *
 * @param perSecond requests and tokens per second by which the budget refills
 * @param burst maximum amount that accumulates; also the maximum that a single request is charged
 */
public record Budget(Amount perSecond, Amount burst) {
    private static final long MAX = 1_000_000_000L;

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is not between 1 and 1,000,000,000
     */
    public Budget {
        check(perSecond.requests());
        check(perSecond.tokens());
        check(burst.requests());
        check(burst.tokens());
    }

    private static void check(long value) {
        if (value < 1 || value > MAX) {
            throw new IllegalArgumentException(value + " is not between 1 and " + MAX);
        }
    }
}
