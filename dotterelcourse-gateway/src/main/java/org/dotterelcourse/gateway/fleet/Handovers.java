package org.dotterelcourse.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.Member;
import org.dotterelcourse.coordination.membership.MemberState;

/** Which peers have joined lately and have to be told of open streams, each in some ticks because messages may be lost. */
final class Handovers {
    private static final int TICKS = 2;

    private final Map<MemberId, Integer> ticksByPeer = new HashMap<>();

    /** The view in which no peer is left that has to be told. */
    private List<Member> completedView = List.of();

    /**
     * Returns the peers to tell in this tick.
     *
     * @param view the membership view
     * @param self name of this process
     */
    List<Member> due(List<Member> view, String self) {
        if (view == completedView) {
            return List.of();
        }
        List<Member> peers = view.stream()
                .filter(member -> !member.name().equals(self) && member.state() == MemberState.ALIVE)
                .toList();
        Set<MemberId> ids = new HashSet<>();
        peers.forEach(peer -> ids.add(peer.id()));
        ticksByPeer.keySet().retainAll(ids);
        List<Member> due = peers.stream()
                .filter(peer -> ticksByPeer.merge(peer.id(), 1, Integer::sum) <= TICKS)
                .toList();
        completedView = due.isEmpty() ? view : completedView;
        return due;
    }
}
