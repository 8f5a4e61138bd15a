package org.dotterelcourse.coordination.configuration;

import java.net.InetSocketAddress;

/**
 * Another process of the fleet.
 *
 * @param name the VM's name
 * @param address its peer port
 * @param sameDataCentre whether it is in this process's data centre
 */
public record RelayPeer(String name, InetSocketAddress address, boolean sameDataCentre) {}
