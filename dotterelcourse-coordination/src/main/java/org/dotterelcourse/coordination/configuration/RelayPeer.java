package org.dotterelcourse.coordination.configuration;

import java.net.InetSocketAddress;

/**
 * Another process of the fleet, to which messages can be sent.
 *
 * @param name name of the VM on which it runs
 * @param address IP address and peer port
 * @param sameDataCentre whether it runs in the data centre of this process
 */
public record RelayPeer(String name, InetSocketAddress address, boolean sameDataCentre) {}
