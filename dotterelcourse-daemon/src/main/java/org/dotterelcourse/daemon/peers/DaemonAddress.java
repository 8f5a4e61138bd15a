package org.dotterelcourse.daemon.peers;

/**
 * Address of a daemon to which a caller may send requests.
 *
 * @param address IP address and port of the daemon's listener for callers, as {@code address:port}
 * @param dataCentre name of the daemon's data centre
 * @param weight relative share of the caller's load that the daemon should receive
 */
public record DaemonAddress(String address, String dataCentre, int weight) {}
