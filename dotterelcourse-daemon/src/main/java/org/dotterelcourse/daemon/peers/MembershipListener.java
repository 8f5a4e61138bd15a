package org.dotterelcourse.daemon.peers;

import java.util.List;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MembershipEffect;

/** Receives the effects of the membership protocol. */
@FunctionalInterface
public interface MembershipListener {
    /**
     * Handles an effect of the membership protocol.
     *
     * @param effect the effect, such as a changed member or a detected pause of this process
     * @param self current identity of this daemon
     * @param members the members after the effect, including this daemon
     */
    void changed(MembershipEffect effect, MemberId self, List<Member> members);
}
