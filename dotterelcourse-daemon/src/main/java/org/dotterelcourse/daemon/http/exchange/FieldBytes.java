package org.dotterelcourse.daemon.http.exchange;

/** The bytes of which the lines of headers and trailers consist, by RFC 9110, 5. */
final class FieldBytes {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final byte DELETE = 127;
    private static final boolean[] IS_TOKEN = new boolean[128];

    static {
        for (char c = 0; c < IS_TOKEN.length; c++) {
            IS_TOKEN[c] = c >= '0' && c <= '9'
                    || c >= 'A' && c <= 'Z'
                    || c >= 'a' && c <= 'z'
                    || TOKEN_SYMBOLS.indexOf(c) >= 0;
        }
    }

    private FieldBytes() {}

    /** Returns whether a byte may be part of a name. */
    static boolean isInName(byte value) {
        return value >= 0 && IS_TOKEN[value];
    }

    /** Returns whether a byte may be part of a value or a reason phrase. */
    static boolean isInText(byte value) {
        return value < 0 || value >= ' ' && value != DELETE || value == '\t';
    }
}
