package org.dotterelcourse.gateway.fleet;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.transport.PeerTransport;

/** How the fleet's messages go to a peer: by datagram while they fit into one, else by TCP. */
final class FleetMessages {
    /** With the envelope's name, incarnation and channel it stays below the transport's limit of 1,400 bytes. */
    private static final int MOST_DATAGRAM_BYTES = 1_200;

    private FleetMessages() {}

    static void send(PeerTransport transport, Member member, String channel, byte[] body) {
        if (body.length <= MOST_DATAGRAM_BYTES) {
            transport.sendDatagram(member.address(), channel, body);
        } else {
            transport.send(member.address(), channel, body);
        }
    }
}
