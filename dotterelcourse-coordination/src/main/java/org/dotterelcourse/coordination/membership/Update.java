package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;

import org.dotterelcourse.coordination.MemberId;

/**
 * A statement about one member.
 *
 * @param id name and incarnation that the statement is about
 * @param address the member's peer port
 * @param state the state it is said to be in
 * @param payload what the member told about itself
 * @param payloadVersion rises with each change of the payload within an incarnation
 */
public record Update(MemberId id, InetSocketAddress address, MemberState state, Payload payload, long payloadVersion) {

    /**
     * Whether this statement takes the place of another about the same member.
     *
     * @param incarnation incarnation of the other statement
     * @param other state of the other statement
     * @return true when this one has a higher incarnation, or the same with a later state
     */
    public boolean overrides(long incarnation, MemberState other) {
        if (id.incarnation() != incarnation) {
            return id.incarnation() > incarnation;
        }
        return state.compareTo(other) > 0;
    }
}
