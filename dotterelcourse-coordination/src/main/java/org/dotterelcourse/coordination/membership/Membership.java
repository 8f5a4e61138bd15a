package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.Shuffles;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ack;
import org.dotterelcourse.coordination.membership.MembershipMessage.Body;
import org.dotterelcourse.coordination.membership.MembershipMessage.Gossip;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ping;
import org.dotterelcourse.coordination.membership.MembershipMessage.PingRequest;
import org.dotterelcourse.coordination.membership.MembershipMessage.Sync;
import org.dotterelcourse.coordination.membership.MembershipMessage.Table;

/**
 * One process's view of who is in the fleet, as a state machine: it takes events with their time and returns effects,
 * opens no socket and reads no clock. Not safe for use by several threads.
 *
 * <p>A process that was paused believes that the others were silent. It notices its pause by the gap between two
 * events, drops the probe that was running and gives all suspects their whole time again, before it handles anything.
 */
public final class Membership {

    private static final int MAX_SLOWNESS = 4;
    private static final int URGENT_FAN_OUT = 5;
    private static final int JOIN_PERIODS = 10;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final SelfRecord self;
    private final MemberTable table;
    private final Rumours rumours = new Rumours();
    private final Suspicions suspicions = new Suspicions();
    private final Outbox out;
    private final Prober prober;
    private final TableExchange exchange;
    private final long startNanos;
    private List<ListedVm> listed = List.of();
    private boolean silenced;
    private int slowness = 1;
    private long lastEventNanos;
    private long nextGossipNanos;

    Membership(MembershipBuilder builder, long nowNanos) {
        settings = builder.settings;
        random = builder.random;
        startNanos = nowNanos;
        lastEventNanos = nowNanos;
        long joinNanos = JOIN_PERIODS * settings.probePeriodNanos();
        self = new SelfRecord(builder.self, builder.address, builder.payload, nowNanos, joinNanos);
        table = new MemberTable(settings.maxMembers());
        out = new Outbox(self, table, rumours, random);
        prober = new Prober(self, table, settings, random, out, nowNanos);
        exchange = new TableExchange(self, table, rumours, settings, random, out, nowNanos);
        nextGossipNanos = nowNanos;
    }

    /**
     * Starts the description of a machine.
     *
     * @return a builder
     */
    public static MembershipBuilder builder() {
        return new MembershipBuilder();
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos the time on the monotonic clock, never lower than at the event before
     * @return what is to be done, in order
     */
    public List<MembershipEffect> on(MembershipEvent event, long nowNanos) {
        if (silenced) {
            return List.of();
        }
        noticePause(nowNanos);
        if (event instanceof MembershipEvent.Tick) {
            tick(nowNanos);
        } else if (event instanceof MembershipEvent.Received received) {
            receive(received, nowNanos);
        } else if (event instanceof MembershipEvent.VmListReceived list) {
            listed(list.vms(), nowNanos);
        } else if (event instanceof MembershipEvent.PayloadChanged changed) {
            self.payload(changed.payload());
        } else if (event instanceof MembershipEvent.Leave) {
            leave(MemberState.LEAVING);
        } else if (event instanceof MembershipEvent.Shutdown) {
            leave(MemberState.DEAD);
            silenced = true;
        }
        return out.drain();
    }

    /**
     * This process's identity.
     *
     * @return its name and present incarnation
     */
    public MemberId self() {
        return self.id();
    }

    /**
     * Whether this process speaks no more, because it departed or was replaced.
     *
     * @return true once silent; it stays so
     */
    public boolean silenced() {
        return silenced;
    }

    /**
     * The fleet as seen from here.
     *
     * @return this process first, then all others, dead ones included until they are forgotten
     */
    public List<Member> members() {
        List<Member> members = new ArrayList<>(table.all().size() + 1);
        members.add(own());
        members.addAll(table.all());
        return members;
    }

    private Member own() {
        Update own = self.update();
        return new Member(own.id(), own.address(), own.state(), own.payload(), own.payloadVersion(), startNanos);
    }

    private void noticePause(long nowNanos) {
        long gap = nowNanos - lastEventNanos;
        lastEventNanos = nowNanos;
        if (gap <= settings.pauseNanos()) {
            return;
        }
        out.add(new MembershipEffect.PauseDetected(gap));
        prober.abandon(nowNanos);
        slowDown();
        suspicions.restart(nowNanos + suspicionTimeout());
        exchange.soon(nowNanos);
    }

    private void tick(long nowNanos) {
        String failed = prober.tick(nowNanos, slowness);
        if (failed != null) {
            suspect(failed, nowNanos);
        }
        for (String name : suspicions.expired(nowNanos)) {
            declareDead(name, nowNanos);
        }
        for (String name : suspicions.toAsk(nowNanos, settings.probePeriodNanos())) {
            prober.ask(table.member(name));
        }
        gossip(nowNanos);
        exchange.tick(nowNanos, listed);
        for (Member member : table.forget(nowNanos, settings.forgetNanos())) {
            out.add(new MembershipEffect.Forgotten(member));
        }
    }

    private void receive(MembershipEvent.Received received, long nowNanos) {
        MembershipMessage message = received.message();
        Update sender = message.self();
        if (sender.id().name().equals(self.id().name())) {
            hearOfSelf(sender, received.from(), nowNanos);
            return;
        }
        Member known = table.member(sender.id().name());
        if (known != null && known.id().incarnation() > sender.id().incarnation()) {
            rejectReplaced(received.from(), known);
            return;
        }
        apply(sender, true, nowNanos);
        for (Update update : message.updates()) {
            hear(update, received.from(), nowNanos);
        }
        if (!silenced) {
            answer(received, message.body(), nowNanos);
        }
    }

    /** A process whose VM was replaced while it was paused is not listened to; it is told who has its name now. */
    private void rejectReplaced(InetSocketAddress from, Member successor) {
        out.sendBare(from, Path.DATAGRAM, new Gossip(), List.of(successor.update()));
    }

    private void hear(Update update, InetSocketAddress from, long nowNanos) {
        if (update.id().name().equals(self.id().name())) {
            hearOfSelf(update, from, nowNanos);
        } else {
            rumours.heard(update, table.livingCount() + 1);
            apply(update, false, nowNanos);
        }
    }

    private void hearOfSelf(Update claim, InetSocketAddress from, long nowNanos) {
        switch (self.judge(claim, nowNanos)) {
            case REFUTE -> refute(claim, from);
            case SUPERSEDED -> {
                silenced = true;
                out.add(new MembershipEffect.Superseded(claim.id()));
            }
            default -> {
                if (claim.id().incarnation() < self.id().incarnation()) {
                    out.sendBare(from, Path.DATAGRAM, new Gossip(), List.of(self.update()));
                }
            }
        }
    }

    private void refute(Update claim, InetSocketAddress from) {
        self.rise(claim.id().incarnation());
        out.add(new MembershipEffect.Reincarnated(self.id()));
        rumours.add(self.update());
        slowDown();
        out.sendBare(from, Path.DATAGRAM, new Gossip(), List.of());
        spread(settings.gossipFanOut());
    }

    /**
     * Whether a suspect that is said to be dead has yet to be asked. After a partition half of the fleet brings that
     * word at once, faster than the suspects can answer and with more news than messages can carry.
     */
    private boolean unasked(Update claim, long nowNanos) {
        Member known = table.member(claim.id().name());
        boolean suspectSaidDead = claim.state() == MemberState.DEAD
                && known != null
                && known.state() == MemberState.SUSPECT
                && claim.overrides(known.id().incarnation(), known.state());
        return suspectSaidDead && !suspicions.askedFor(known.name(), settings.probePeriodNanos(), nowNanos);
    }

    private void apply(Update claim, boolean firstHand, long nowNanos) {
        if (!firstHand && unasked(claim, nowNanos)) {
            return;
        }
        MemberTable.Merge merge = table.merge(claim, firstHand, nowNanos);
        if (merge == MemberTable.Merge.NOTHING) {
            return;
        }
        Member after = table.member(claim.id().name());
        out.add(new MembershipEffect.MemberChanged(after, merge == MemberTable.Merge.PAYLOAD));
        if (merge == MemberTable.Merge.PAYLOAD) {
            return;
        }
        boolean doubtedWord = after.state() != claim.state();
        if (!doubtedWord) {
            rumours.add(claim);
        }
        if (after.state() == MemberState.SUSPECT) {
            long timeout = suspicionTimeout();
            suspicions.start(after.name(), nowNanos + timeout, nowNanos + (doubtedWord ? 0 : timeout / 2));
        } else {
            suspicions.end(after.name());
        }
    }

    private void answer(MembershipEvent.Received received, Body body, long nowNanos) {
        InetSocketAddress from = received.from();
        String sender = received.message().self().id().name();
        Path back = received.path() == Path.DATAGRAM ? Path.DATAGRAM : Path.STREAM;
        if (body instanceof Ping ping) {
            boolean notMe = !ping.target().equals(self.id().name());
            out.send(from, back, new Ack(ping.sequence(), notMe), sender);
        } else if (body instanceof Ack ack) {
            acknowledged(ack, nowNanos);
        } else if (body instanceof PingRequest request) {
            prober.relay(request, from, nowNanos);
        } else if (body instanceof Sync sync) {
            if (sync.digest() != table.digest(self.update())) {
                exchange.sendTable(from, true);
            }
        } else if (body instanceof Table offered && offered.replyWanted()) {
            exchange.sendTable(from, false);
        }
    }

    /** Another process at the address of a member is first-hand word that the member is gone from there. */
    private void acknowledged(Ack ack, long nowNanos) {
        String probed = prober.acknowledged(ack);
        if (probed == null) {
            return;
        }
        if (ack.notMe()) {
            suspect(probed, nowNanos);
        } else if (slowness > 1) {
            slowness--;
        }
    }

    private void suspect(String name, long nowNanos) {
        Member member = table.member(name);
        if (member == null || member.state().compareTo(MemberState.SUSPECT) >= 0) {
            return;
        }
        table.changeState(member, MemberState.SUSPECT, nowNanos);
        long timeout = onList(member) ? suspicionTimeout() : settings.confirmedSuspicionNanos();
        suspicions.start(name, nowNanos + timeout, nowNanos);
        announce(name);
    }

    private void declareDead(String name, long nowNanos) {
        suspicions.end(name);
        Member member = table.member(name);
        if (member != null && member.state() == MemberState.SUSPECT) {
            table.changeState(member, MemberState.DEAD, nowNanos);
            announce(name);
        }
    }

    private void announce(String name) {
        Member member = table.member(name);
        rumours.add(member.update());
        out.add(new MembershipEffect.MemberChanged(member, false));
    }

    private void leave(MemberState state) {
        self.state(state);
        rumours.add(self.update());
        out.add(new MembershipEffect.MemberChanged(own(), false));
        spread(URGENT_FAN_OUT);
    }

    private void listed(List<ListedVm> vms, long nowNanos) {
        listed = List.copyOf(vms);
        for (Member member : table.where(each -> each.state() == MemberState.SUSPECT)) {
            if (!onList(member)) {
                suspicions.hasten(member.name(), nowNanos + settings.confirmedSuspicionNanos());
            }
        }
    }

    /** An empty list says nothing: the platform may not have answered yet. */
    private boolean onList(Member member) {
        if (listed.isEmpty()) {
            return true;
        }
        return listed.contains(new ListedVm(member.name(), member.address()));
    }

    private void gossip(long nowNanos) {
        if (rumours.isEmpty() || nowNanos - nextGossipNanos < 0) {
            return;
        }
        nextGossipNanos = nowNanos + settings.gossipPeriodNanos();
        spread(settings.gossipFanOut());
    }

    private void spread(int fanOut) {
        List<Member> receivers = table.where(member -> member.state() != MemberState.DEAD);
        Shuffles.shuffle(receivers, random);
        for (Member receiver : receivers.subList(0, Math.min(fanOut, receivers.size()))) {
            out.send(receiver.address(), Path.DATAGRAM, new Gossip(), receiver.name());
        }
    }

    private long suspicionTimeout() {
        int rounds = Rumours.rounds(table.livingCount() + 1);
        return slowness * (settings.suspicionNanos() + rounds * settings.gossipPeriodNanos());
    }

    private void slowDown() {
        slowness = Math.min(MAX_SLOWNESS, slowness + 1);
    }
}
