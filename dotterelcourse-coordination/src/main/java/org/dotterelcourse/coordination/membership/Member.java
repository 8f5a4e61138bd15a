package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/**
 * A member as one process sees it.
 *
 * @param id name and highest incarnation heard of
 * @param address the member's peer port
 * @param state its state
 * @param payload the newest that was heard of what it tells about itself
 * @param payloadVersion version of the payload within the incarnation
 * @param sinceNanos when this process learned of the state, on its own monotonic clock
 */
public record Member(
        MemberId id,
        InetSocketAddress address,
        MemberState state,
        Payload payload,
        long payloadVersion,
        long sinceNanos) {

    /**
     * The name of the member's VM.
     *
     * @return the name without the incarnation
     */
    public String name() {
        return id.name();
    }

    /**
     * This view as a statement for others.
     *
     * @return the statement
     */
    public Update update() {
        return new Update(id, address, state, payload, payloadVersion);
    }

    Member withState(MemberState changed, long nowNanos) {
        return new Member(id, address, changed, payload, payloadVersion, nowNanos);
    }

    Member withPayload(Payload changed, long version) {
        return new Member(id, address, state, changed, version, sinceNanos);
    }
}
