package org.dotterelcourse.daemon.peers;

import java.util.List;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MembershipEffect;

/** Hears what the membership tells. */
@FunctionalInterface
public interface MembershipListener {
    /**
     * Something has changed.
     *
     * @param effect what
     * @param self this daemon
     * @param members the view after it, this daemon included
     */
    void changed(MembershipEffect effect, MemberId self, List<Member> members);
}
