package org.dotterelcourse.gateway.forward;

import java.net.InetSocketAddress;

/**
 * A peer that sends on requests of this process's clients.
 *
 * @param name name of the peer
 * @param address where it accepts relayed requests
 */
public record RelayTarget(String name, InetSocketAddress address) {}
