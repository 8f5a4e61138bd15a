package org.dotterelcourse.configuration;

import java.math.BigDecimal;

/** Writes decimal numbers in one form only, so that equal values give equal text. */
final class Decimals {
    /** Whole numbers below it are exact in a double. */
    private static final double LARGEST_EXACT = 1L << 53;

    private Decimals() {}

    static String text(double value) {
        if (value == Math.rint(value) && Math.abs(value) < LARGEST_EXACT) {
            return Long.toString((long) value);
        }
        BigDecimal exact = BigDecimal.valueOf(value);
        return exact.signum() == 0 ? "0" : exact.stripTrailingZeros().toPlainString();
    }
}
