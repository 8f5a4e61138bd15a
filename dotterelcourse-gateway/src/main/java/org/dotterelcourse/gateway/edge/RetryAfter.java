package org.dotterelcourse.gateway.edge;

/** Formats the Retry-After header. The router's clients accept fractions of a second, which RFC 9110 does not allow. */
final class RetryAfter {
    private static final long MILLIS_PER_SECOND = 1_000;

    private RetryAfter() {}

    static String seconds(long millis) {
        String thousandths = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
        return millis / MILLIS_PER_SECOND + "." + thousandths.substring(1);
    }
}
