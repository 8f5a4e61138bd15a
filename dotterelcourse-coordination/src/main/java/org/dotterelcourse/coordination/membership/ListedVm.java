package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

/**
 * A VM on the platform's list.
 *
 * @param name the VM's name
 * @param address the peer port of its daemon
 */
public record ListedVm(String name, InetSocketAddress address) {}
