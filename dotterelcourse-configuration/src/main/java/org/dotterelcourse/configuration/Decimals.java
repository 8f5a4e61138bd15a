package org.dotterelcourse.configuration;

import java.math.BigDecimal;

/** Writes decimal numbers in one form only, so that equal values give equal text. */
final class Decimals {
    private Decimals() {}

    static String text(double value) {
        BigDecimal exact = BigDecimal.valueOf(value);
        return exact.signum() == 0 ? "0" : exact.stripTrailingZeros().toPlainString();
    }
}
