package org.dotterelcourse.configuration;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Validates IP addresses with and without a port. Never performs a DNS look-up; host names are rejected. */
public final class IpAddress {
    private static final int MAX_PORT = 65_535;
    private static final Pattern IPV4 = Pattern.compile("((25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])(\\.(?!$)|$)){4}");
    private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9a-f:][0-9a-f:.]*");
    private static final Pattern WITH_PORT = Pattern.compile("(?:\\[([^\\]]+)\\]|([^:]+)):([1-9][0-9]{0,4})");

    private IpAddress() {}

    /**
     * Validates an IP address.
     *
     * @param text the text to validate
     * @return the text, or empty if it is not an IPv4 or IPv6 address
     */
    public static Optional<String> number(String text) {
        boolean valid = IPV4.matcher(text).matches() || isIpv6(text);
        return valid ? Optional.of(text) : Optional.empty();
    }

    /**
     * Validates an IP address and port; an IPv6 address must be in brackets.
     *
     * @param text the text to validate
     * @return the text, or empty if it is not an IP address and a port from 1 to 65535
     */
    public static Optional<String> numberAndPort(String text) {
        Matcher matcher = WITH_PORT.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(3)) > MAX_PORT) {
            return Optional.empty();
        }
        boolean valid =
                matcher.group(1) == null ? IPV4.matcher(matcher.group(2)).matches() : isIpv6(matcher.group(1));
        return valid ? Optional.of(text) : Optional.empty();
    }

    private static boolean isIpv6(String text) {
        if (!text.contains(":") || !IPV6_CHARACTERS.matcher(text).matches()) {
            return false;
        }
        try {
            // getByName parses text of these characters that contains a colon as an IPv6 literal, without a DNS
            // look-up.
            InetAddress.getByName(text);
            return true;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
