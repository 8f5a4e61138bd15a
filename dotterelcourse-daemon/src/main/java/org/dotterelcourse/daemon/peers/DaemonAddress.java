package org.dotterelcourse.daemon.peers;

/**
 * A daemon that a caller may use.
 *
 * @param address IP number and port for callers
 * @param dataCentre its data centre
 * @param weight how much of the caller's load it should get, against the others'
 */
public record DaemonAddress(String address, String dataCentre, int weight) {}
