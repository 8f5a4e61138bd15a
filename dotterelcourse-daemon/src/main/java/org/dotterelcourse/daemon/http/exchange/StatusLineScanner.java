package org.dotterelcourse.daemon.http.exchange;

/**
 * Finds the beginning of a status line, such as {@code HTTP/1.1 200}, in bytes that arrive one by one; of any version and
 * status, since a faulty server may send invalid ones.
 */
final class StatusLineScanner {
    /** A hash sign stands for any digit. */
    private static final String PATTERN = "HTTP/#.# ###";

    private static final int MAJOR_VERSION_INDEX = PATTERN.indexOf('#');
    private static final int STATUS_CLASS_INDEX = PATTERN.lastIndexOf(' ') + 1;

    private int matched;

    /**
     * Scans the next byte.
     *
     * @return whether it is the last of a beginning of a status line
     */
    boolean scan(byte value) {
        if (matches(value, PATTERN.charAt(matched))) {
            matched++;
        } else {
            matched = value == PATTERN.charAt(0) ? 1 : 0;
        }
        if (matched < PATTERN.length()) {
            return false;
        }
        matched = 0;
        return true;
    }

    /** Returns whether the last bytes are the name of the protocol and a slash, at least. */
    boolean isInProtocolVersion() {
        return matched > PATTERN.indexOf('/');
    }

    void reset() {
        matched = 0;
    }

    /**
     * Returns whether a byte is allowed at a position of the beginning of a valid status line: the version is 1.x (RFC 9112,
     * 2.3) and the status is 100 to 599 (RFC 9110, 15).
     */
    static boolean isExpected(byte value, int position) {
        if (position == MAJOR_VERSION_INDEX) {
            return value == '1';
        }
        if (position == STATUS_CLASS_INDEX) {
            return value >= '1' && value <= '5';
        }
        return matches(value, PATTERN.charAt(position));
    }

    static int length() {
        return PATTERN.length();
    }

    private static boolean matches(byte value, char expected) {
        return expected == '#' ? value >= '0' && value <= '9' : value == expected;
    }
}
