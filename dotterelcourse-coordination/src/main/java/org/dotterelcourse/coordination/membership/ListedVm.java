package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

/**
 * An entry of the platform's list of VMs.
 *
 * @param name the VM's name
 * @param address IP address and peer port of the daemon on this VM
 */
public record ListedVm(String name, InetSocketAddress address) {}
