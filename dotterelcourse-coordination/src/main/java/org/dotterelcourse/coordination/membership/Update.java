package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/**
 * A statement about one member that is sent between members.
 *
 * @param id name and incarnation of the described member
 * @param address IP address and peer port of the described member
 * @param state the reported state
 * @param payload the payload published by the described member
 * @param payloadVersion increases with each change of the payload within an incarnation
 */
public record Update(MemberId id, InetSocketAddress address, MemberState state, Payload payload, long payloadVersion) {

    /**
     * Returns whether this update takes precedence over an earlier one about the same member.
     *
     * @param incarnation incarnation of the earlier update
     * @param other state of the earlier update
     * @return true if this update has a higher incarnation, or the same incarnation and a later state
     */
    public boolean overrides(long incarnation, MemberState other) {
        if (id.incarnation() != incarnation) {
            return id.incarnation() > incarnation;
        }
        return state.compareTo(other) > 0;
    }
}
