package org.dotterelcourse.configuration;

import java.math.BigDecimal;

/** Formats decimal numbers in a canonical form, so that equal values give equal text. */
final class Decimals {
    /** Every integer of smaller magnitude has an exact double representation. */
    private static final double EXACT_INTEGER_LIMIT = 1L << 53;

    private Decimals() {}

    static String text(double value) {
        if (value == Math.rint(value) && Math.abs(value) < EXACT_INTEGER_LIMIT) {
            return Long.toString((long) value);
        }
        BigDecimal exact = BigDecimal.valueOf(value);
        return exact.signum() == 0 ? "0" : exact.stripTrailingZeros().toPlainString();
    }
}
