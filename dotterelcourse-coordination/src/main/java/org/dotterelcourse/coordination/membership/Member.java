package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/**
 * A member of the fleet as seen by one process.
 *
 * @param id the member's name and the highest incarnation received
 * @param address the member's IP address and peer port
 * @param state the member's state in the local view
 * @param payload the newest payload received from or about the member
 * @param payloadVersion version of the payload within the incarnation
 * @param sinceNanos when the local process recorded this state, in nanoseconds of its own monotonic clock
 */
public record Member(
        MemberId id,
        InetSocketAddress address,
        MemberState state,
        Payload payload,
        long payloadVersion,
        long sinceNanos) {

    /**
     * Returns the name of the member's VM.
     *
     * @return the name without the incarnation
     */
    public String name() {
        return id.name();
    }

    /**
     * Converts this view to an update that can be sent to other members.
     *
     * @return the update
     */
    public Update update() {
        return new Update(id, address, state, payload, payloadVersion);
    }

    Member withState(MemberState newState, long nowNanos) {
        return new Member(id, address, newState, payload, payloadVersion, nowNanos);
    }

    Member withPayload(Payload newPayload, long version) {
        return new Member(id, address, state, newPayload, version, sinceNanos);
    }
}
