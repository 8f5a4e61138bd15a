package org.dotterelcourse.standins;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Addresses, of which only those on loopback are taken: a stand-in must never load or disturb a real system. */
final class Loopback {
    private static final Pattern NUMERIC = Pattern.compile("127(\\.\\d{1,3}){3}");
    private static final int MAX_PORT = 65_535;

    private Loopback() {}

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0 || !NUMERIC.matcher(address.substring(0, colon)).matches()) {
            throw new IllegalArgumentException("only 127.x.x.x:PORT is taken as a target, not " + address);
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (port < 1 || port > MAX_PORT) {
                throw new IllegalArgumentException("the port is 1 to 65535: " + address);
            }
            return new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("only 127.x.x.x:PORT is taken as a target, not " + address, e);
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
