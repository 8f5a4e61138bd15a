package org.dotterelcourse.configuration;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads IP numbers with and without a port. Never asks a name server: a host name is not an IP number. */
public final class IpAddress {
    private static final int HIGHEST_PORT = 65_535;
    private static final Pattern IPV4 = Pattern.compile("((25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])(\\.(?!$)|$)){4}");
    private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9a-f:][0-9a-f:.]*");
    private static final Pattern WITH_PORT = Pattern.compile("(?:\\[([^\\]]+)\\]|([^:]+)):([1-9][0-9]{0,4})");

    private IpAddress() {}

    /**
     * Reads an IP number.
     *
     * @param text the text
     * @return the text, or empty if it is not an IP number
     */
    public static Optional<String> number(String text) {
        boolean right = IPV4.matcher(text).matches() || isIpv6(text);
        return right ? Optional.of(text) : Optional.empty();
    }

    /**
     * Reads an IP number and port, an IPv6 number in brackets.
     *
     * @param text the text
     * @return the text, or empty if it is not an IP number and a port from 1 to 65535
     */
    public static Optional<String> numberAndPort(String text) {
        Matcher matcher = WITH_PORT.matcher(text);
        if (!matcher.matches() || Integer.parseInt(matcher.group(3)) > HIGHEST_PORT) {
            return Optional.empty();
        }
        boolean right =
                matcher.group(1) == null ? IPV4.matcher(matcher.group(2)).matches() : isIpv6(matcher.group(1));
        return right ? Optional.of(text) : Optional.empty();
    }

    private static boolean isIpv6(String text) {
        if (!text.contains(":") || !IPV6_CHARACTERS.matcher(text).matches()) {
            return false;
        }
        try {
            // Text that starts so and has a colon is only ever parsed as a number, never looked up.
            InetAddress.getByName(text);
            return true;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
