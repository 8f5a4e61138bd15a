package org.dotterelcourse.coordination.transport;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/**
 * A message received from another process.
 *
 * @param sender the identity that the sender put into the envelope; not authenticated
 * @param from address of the sender's peer port, for replies
 * @param datagram whether the message was received by UDP
 * @param body the message in the channel's own encoding
 */
public record PeerMessage(MemberId sender, InetSocketAddress from, boolean datagram, byte[] body) {}
