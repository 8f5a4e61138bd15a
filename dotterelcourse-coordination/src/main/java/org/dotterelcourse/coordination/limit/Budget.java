package org.dotterelcourse.coordination.limit;

/**
 * What a customer may use: a steady rate, and a burst above it after a quiet time.
 *
 * @param perSecond the rate
 * @param burst how much may be saved up; also the most that one request is charged
 */
public record Budget(Amount perSecond, Amount burst) {
    private static final long MAX = 1_000_000_000L;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value isn't between 1 and a billion
     */
    public Budget {
        check(perSecond.requests());
        check(perSecond.tokens());
        check(burst.requests());
        check(burst.tokens());
    }

    private static void check(long value) {
        if (value < 1 || value > MAX) {
            throw new IllegalArgumentException(value + " isn't between 1 and " + MAX);
        }
    }
}
