package org.dotterelcourse.gateway.fleet;

import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.transport.PeerTransport;

/** Sends messages to peers: as a datagram if they fit into one, else over TCP. */
final class FleetMessages {
    /**
     * With the name, incarnation and channel in the envelope, the datagram stays below the transport's limit of 1,400
     * bytes.
     */
    private static final int MAX_DATAGRAM_BODY_BYTES = 1_200;

    private FleetMessages() {}

    static void send(PeerTransport transport, Member member, String channel, byte[] body) {
        if (body.length <= MAX_DATAGRAM_BODY_BYTES) {
            transport.sendDatagram(member.address(), channel, body);
        } else {
            transport.send(member.address(), channel, body);
        }
    }
}
