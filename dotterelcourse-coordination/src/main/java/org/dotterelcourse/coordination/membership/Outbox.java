package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.membership.MembershipMessage.Body;

/** Collects effects, and writes messages: each carries the sender, the news and a few other members' payloads. */
final class Outbox {

    private static final int MAX_RUMOURS = 6;
    private static final int MAX_REFRESHED = 2;
    private static final int MAX_UPDATE_BYTES = 900;

    private final SelfRecord self;
    private final MemberTable table;
    private final Rumours rumours;
    private final RandomGenerator random;
    private List<MembershipEffect> effects = new ArrayList<>();

    Outbox(SelfRecord self, MemberTable table, Rumours rumours, RandomGenerator random) {
        this.self = self;
        this.table = table;
        this.rumours = rumours;
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
     * Sends with news. What is held against the receiver goes first: it can refute only what it hears of.
     */
    void send(InetSocketAddress to, Path path, Body body, String receiver) {
        List<Update> updates = new ArrayList<>();
        Member doubted = receiver == null ? null : table.member(receiver);
        int budget = MAX_UPDATE_BYTES;
        if (doubted != null && doubted.state().compareTo(MemberState.SUSPECT) >= 0) {
            updates.add(doubted.update());
            budget -= UpdateSize.of(doubted.update());
        }
        updates.addAll(rumours.take(MAX_RUMOURS, budget, table.livingCount() + 1));
        refresh(updates);
        effects.add(new MembershipEffect.Send(to, path, new MembershipMessage(body, self.update(), updates)));
    }

    /** Sends without news, for messages that others than members may get. */
    void sendBare(InetSocketAddress to, Path path, Body body, List<Update> updates) {
        effects.add(new MembershipEffect.Send(to, path, new MembershipMessage(body, self.update(), updates)));
    }

    /** Payloads of members that one never probes oneself spread slowly in the room that is left. */
    private void refresh(List<Update> updates) {
        List<Member> all = table.where(member -> member.state() != MemberState.DEAD);
        int bytes = 0;
        for (Update update : updates) {
            bytes += UpdateSize.of(update);
        }
        for (int i = 0; i < MAX_REFRESHED && !all.isEmpty(); i++) {
            Update update = all.get(random.nextInt(all.size())).update();
            bytes += UpdateSize.of(update);
            if (bytes > MAX_UPDATE_BYTES) {
                return;
            }
            updates.add(update);
        }
    }
}
