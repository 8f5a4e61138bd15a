package org.dotterelcourse.coordination.transport;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/**
 * A message from another process.
 *
 * @param sender the process that sent it, by its own word
 * @param from the peer port of the sender, where an answer goes
 * @param datagram whether it came by UDP
 * @param body the channel's own encoding
 */
public record PeerMessage(MemberId sender, InetSocketAddress from, boolean datagram, byte[] body) {}
