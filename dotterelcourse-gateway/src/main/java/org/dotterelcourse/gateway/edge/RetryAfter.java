package org.dotterelcourse.gateway.edge;

import java.util.Locale;

/** Formats the Retry-After header. The router's clients accept fractions of a second, which RFC 9110 does not allow. */
final class RetryAfter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfter() {}

    static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }
}
