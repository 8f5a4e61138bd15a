package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.membership.MembershipMessage.Body;

/**
 * Collects the effects of an event and builds messages. Each message carries the sender's own update, pending gossip and
 * the payloads of a few other members.
 */
final class Outbox {

    private static final int MAX_GOSSIP_UPDATES = 6;
    private static final int MAX_REFRESH_UPDATES = 2;
    private static final int MAX_UPDATE_BYTES = 900;

    private final LocalMember self;
    private final MemberTable table;
    private final GossipQueue gossip;
    private final RandomGenerator random;
    private List<MembershipEffect> effects = new ArrayList<>();

    Outbox(LocalMember self, MemberTable table, GossipQueue gossip, RandomGenerator random) {
        this.self = self;
        this.table = table;
        this.gossip = gossip;
        this.random = random;
    }

    void add(MembershipEffect effect) {
        effects.add(effect);
    }

    List<MembershipEffect> drain() {
        List<MembershipEffect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }

    /**
     * Sends a message with gossip. If the receiver is suspect or dead in the local view, that update goes first, because
     * the receiver can refute only what it receives.
     *
     * @param receiver name of the receiving member, or null if unknown
     */
    void send(InetSocketAddress to, DeliveryMode mode, Body body, String receiver) {
        List<Update> updates = new ArrayList<>();
        Member receiverEntry = receiver == null ? null : table.member(receiver);
        int remainingBytes = MAX_UPDATE_BYTES;
        if (receiverEntry != null && receiverEntry.state().compareTo(MemberState.SUSPECT) >= 0) {
            updates.add(receiverEntry.update());
            remainingBytes -= UpdateSize.of(receiverEntry.update());
        }
        updates.addAll(gossip.take(MAX_GOSSIP_UPDATES, remainingBytes, table.liveCount() + 1));
        addRefreshUpdates(updates);
        effects.add(new MembershipEffect.Send(to, mode, new MembershipMessage(body, self.update(), updates)));
    }

    /** Sends a message with the given updates only, for receivers that may not be members. */
    void sendWithoutGossip(InetSocketAddress to, DeliveryMode mode, Body body, List<Update> updates) {
        effects.add(new MembershipEffect.Send(to, mode, new MembershipMessage(body, self.update(), updates)));
    }

    /**
     * Fills the remaining space with random members, so that payloads also reach members that do not exchange messages
     * directly.
     */
    private void addRefreshUpdates(List<Update> updates) {
        List<Member> candidates = table.matching(member -> member.state() != MemberState.DEAD);
        int bytes = 0;
        for (Update update : updates) {
            bytes += UpdateSize.of(update);
        }
        for (int i = 0; i < MAX_REFRESH_UPDATES && !candidates.isEmpty(); i++) {
            Update update = candidates.get(random.nextInt(candidates.size())).update();
            bytes += UpdateSize.of(update);
            if (bytes > MAX_UPDATE_BYTES) {
                return;
            }
            updates.add(update);
        }
    }
}
