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
 * The local view of the fleet's members, maintained by SWIM as a state machine: it takes events with their times and
 * returns effects, performs no I/O and reads no clock. Not thread-safe.
 *
 * <p>To a process that was paused, the other members seem to have been silent. The state machine detects a pause by the
 * gap between two events. Before it handles the next event, it cancels the current probe and restarts all suspicion
 * timeouts.
 */
public final class Membership {

    private static final int MAX_TIMEOUT_MULTIPLIER = 4;
    private static final int LEAVE_FAN_OUT = 5;

    private static final int STARTUP_GRACE_PROBE_PERIODS = 10;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final LocalMember self;
    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final Suspicions suspicions = new Suspicions();
    private final Outbox out;
    private final Prober prober;
    private final TableExchange exchange;
    private final long startNanos;
    private List<ListedVm> vmList = List.of();
    private boolean stopped;
    /** Raised by a pause or a refutation, lowered by an answered probe (Lifeguard's local health multiplier). */
    private int timeoutMultiplier = 1;

    private long lastEventNanos;
    private final TickLateness lateness;
    private long nextGossipNanos;

    Membership(MembershipBuilder builder, long nowNanos) {
        settings = builder.settings;
        random = builder.random;
        startNanos = nowNanos;
        lastEventNanos = nowNanos;
        lateness = new TickLateness(settings.tickNanos(), nowNanos);
        long startupGraceNanos = STARTUP_GRACE_PROBE_PERIODS * settings.probePeriodNanos();
        self = new LocalMember(builder.self, builder.address, builder.payload, nowNanos, startupGraceNanos);
        table = new MemberTable(settings.maxMembers());
        out = new Outbox(self, table, gossip, random);
        prober = new Prober(self, table, settings, random, out, nowNanos);
        exchange = new TableExchange(self, table, gossip, settings, random, out, nowNanos);
        nextGossipNanos = nowNanos;
    }

    /**
     * Returns a builder.
     *
     * @return a new builder
     */
    public static MembershipBuilder builder() {
        return new MembershipBuilder();
    }

    /**
     * Handles one event.
     *
     * @param event the event
     * @param nowNanos current monotonic time in nanoseconds, not lower than at the previous event
     * @return the effects to execute, in order; empty once this process has stopped
     */
    public List<MembershipEffect> on(MembershipEvent event, long nowNanos) {
        if (stopped) {
            return List.of();
        }
        detectPause(nowNanos);
        if (event instanceof MembershipEvent.Tick) {
            tick(nowNanos);
        } else if (event instanceof MembershipEvent.Received received) {
            receive(received, nowNanos);
        } else if (event instanceof MembershipEvent.VmListReceived list) {
            updateVmList(list.vms(), nowNanos);
        } else if (event instanceof MembershipEvent.PayloadChanged changed) {
            Payload before = self.payload();
            self.setPayload(changed.payload());
            gossip.addIfUrgent(before, self.update());
        } else if (event instanceof MembershipEvent.Leave) {
            leave(MemberState.LEAVING);
        } else if (event instanceof MembershipEvent.Shutdown) {
            leave(MemberState.DEAD);
            stopped = true;
        }
        return out.drain();
    }

    /**
     * Returns the identity of this process.
     *
     * @return its name and current incarnation
     */
    public MemberId self() {
        return self.id();
    }

    /**
     * Returns whether this membership ignores events and sends nothing, because its process was shut down or replaced.
     *
     * @return true once stopped; a stopped membership cannot be restarted
     */
    public boolean isStopped() {
        return stopped;
    }

    /**
     * Returns the local view of the fleet.
     *
     * @return this process first, then all other members, including dead ones until they are evicted
     */
    public List<Member> members() {
        List<Member> members = new ArrayList<>(table.members().size() + 1);
        members.add(selfMember());
        members.addAll(table.members());
        return members;
    }

    private Member selfMember() {
        Update update = self.update();
        return new Member(
                update.id(), update.address(), update.state(), update.payload(), update.payloadVersion(), startNanos);
    }

    private void detectPause(long nowNanos) {
        long gapNanos = nowNanos - lastEventNanos;
        lastEventNanos = nowNanos;
        if (gapNanos <= settings.pauseThresholdNanos()) {
            return;
        }
        out.add(new MembershipEffect.PauseDetected(gapNanos));
        prober.cancel(nowNanos);
        raiseTimeoutMultiplier();
        suspicions.restartAll(nowNanos + suspicionTimeoutNanos());
        exchange.scheduleSync(nowNanos);
    }

    private void tick(long nowNanos) {
        if (lateness.recordTick(nowNanos)) {
            prober.postpone(lateness.nanos());
            suspicions.postponeAll(lateness.nanos());
            raiseTimeoutMultiplier();
        }
        String failed = prober.tick(nowNanos, timeoutMultiplier);
        if (failed != null) {
            suspect(failed, nowNanos);
        }
        for (String name : suspicions.expired(nowNanos)) {
            declareDead(name, nowNanos);
        }
        for (String name : suspicions.takeDueForPing(nowNanos, settings.probePeriodNanos())) {
            prober.ping(table.member(name));
        }
        gossipIfDue(nowNanos);
        exchange.tick(nowNanos, vmList);
        for (Member member : table.evictDead(nowNanos, settings.deadRetentionNanos())) {
            out.add(new MembershipEffect.MemberEvicted(member));
        }
    }

    private void receive(MembershipEvent.Received received, long nowNanos) {
        MembershipMessage message = received.message();
        Update sender = message.self();
        if (sender.id().name().equals(self.id().name())) {
            handleUpdateAboutSelf(sender, received.from(), nowNanos);
            return;
        }
        Member current = table.member(sender.id().name());
        if (current != null && current.id().incarnation() > sender.id().incarnation()) {
            rejectReplaced(received.from(), current);
            return;
        }
        apply(sender, true, true, nowNanos);
        boolean isTable = message.body() instanceof Table;
        for (Update update : message.updates()) {
            handleUpdate(update, received.from(), isTable, nowNanos);
        }
        if (!stopped) {
            respond(received, message, nowNanos);
        }
    }

    /** Rejects a message of a process whose VM was replaced while it was paused, and notifies it of its successor. */
    private void rejectReplaced(InetSocketAddress from, Member successor) {
        out.sendWithoutGossip(from, DeliveryMode.DATAGRAM, new Gossip(), List.of(successor.update()));
    }

    private void handleUpdate(Update update, InetSocketAddress from, boolean fromTable, long nowNanos) {
        if (update.id().name().equals(self.id().name())) {
            handleUpdateAboutSelf(update, from, nowNanos);
        } else {
            gossip.recordReceived(update, table.liveCount() + 1);
            // While this process joins, the members that it learns of from tables are known to others already.
            boolean isNews = !fromTable
                    || !exchange.isStarting(nowNanos)
                    || table.member(update.id().name()) != null;
            apply(update, false, isNews, nowNanos);
        }
    }

    private void handleUpdateAboutSelf(Update update, InetSocketAddress from, long nowNanos) {
        switch (self.evaluate(update, nowNanos)) {
            case REFUTE -> refute(update, from);
            case SUPERSEDED -> {
                stopped = true;
                out.add(new MembershipEffect.Superseded(update.id()));
            }
            default -> {
                // The sender has an outdated view of this process.
                if (update.id().incarnation() < self.id().incarnation()) {
                    out.sendWithoutGossip(from, DeliveryMode.DATAGRAM, new Gossip(), List.of(self.update()));
                }
            }
        }
    }

    /** Refutes an update by announcing a higher incarnation to the sender and to random members. */
    private void refute(Update update, InetSocketAddress from) {
        self.raiseIncarnation(update.id().incarnation());
        out.add(new MembershipEffect.IncarnationRaised(self.id()));
        gossip.add(self.update());
        raiseTimeoutMultiplier();
        out.sendWithoutGossip(from, DeliveryMode.DATAGRAM, new Gossip(), List.of());
        sendGossip(settings.gossipFanOut());
    }

    /**
     * Returns whether an update reports the death of a suspect that has not yet had a probe period to answer a direct
     * ping. After a partition, half of the fleet sends such reports at once, faster than the suspects can refute them
     * and with more updates than messages can carry.
     */
    private boolean isUnconfirmedDeath(Update update, long nowNanos) {
        Member current = table.member(update.id().name());
        boolean deathOfSuspect = update.state() == MemberState.DEAD
                && current != null
                && current.state() == MemberState.SUSPECT
                && update.overrides(current.id().incarnation(), current.state());
        return deathOfSuspect && !suspicions.wasPingedBefore(current.name(), settings.probePeriodNanos(), nowNanos);
    }

    private void apply(Update update, boolean fromSubject, boolean spread, long nowNanos) {
        if (!fromSubject && isUnconfirmedDeath(update, nowNanos)) {
            return;
        }
        Member before = table.member(update.id().name());
        MemberTable.MergeResult result = table.merge(update, fromSubject, nowNanos);
        if (result == MemberTable.MergeResult.UNCHANGED) {
            return;
        }
        Member member = table.member(update.id().name());
        out.add(new MembershipEffect.MemberChanged(member, result == MemberTable.MergeResult.PAYLOAD_CHANGED));
        if (result == MemberTable.MergeResult.PAYLOAD_CHANGED) {
            gossip.addIfUrgent(before.payload(), member.update());
            return;
        }
        boolean suspectedInstead = member.state() != update.state();
        if (!suspectedInstead && spread) {
            gossip.add(update);
        }
        if (member.state() == MemberState.SUSPECT) {
            long timeoutNanos = suspicionTimeoutNanos();
            suspicions.start(
                    member.name(), nowNanos + timeoutNanos, nowNanos + (suspectedInstead ? 0 : timeoutNanos / 2));
        } else {
            suspicions.cancel(member.name());
        }
    }

    private void respond(MembershipEvent.Received received, MembershipMessage message, long nowNanos) {
        Body body = message.body();
        InetSocketAddress from = received.from();
        String sender = message.self().id().name();
        DeliveryMode replyMode = received.mode() == DeliveryMode.DATAGRAM ? DeliveryMode.DATAGRAM : DeliveryMode.STREAM;
        if (body instanceof Ping ping) {
            boolean wrongTarget = !ping.target().equals(self.id().name());
            out.send(from, replyMode, new Ack(ping.sequence(), wrongTarget), sender);
        } else if (body instanceof Ack ack) {
            handleAck(ack, nowNanos);
        } else if (body instanceof PingRequest request) {
            prober.relayPing(request, from, nowNanos);
        } else if (body instanceof Sync sync) {
            exchange.answer(sync, from);
        } else if (body instanceof Table offered && offered.replyWanted()) {
            exchange.sendMissing(from, message.updates());
        }
    }

    /** Handles an ack. If another process uses the address of the probed member, that member is suspected at once. */
    private void handleAck(Ack ack, long nowNanos) {
        String probed = prober.handleAck(ack);
        if (probed == null) {
            return;
        }
        if (ack.wrongTarget()) {
            suspect(probed, nowNanos);
        } else if (timeoutMultiplier > 1) {
            timeoutMultiplier--;
        }
    }

    private void suspect(String name, long nowNanos) {
        Member member = table.member(name);
        if (member == null || member.state().compareTo(MemberState.SUSPECT) >= 0) {
            return;
        }
        table.changeState(member, MemberState.SUSPECT, nowNanos);
        long timeoutNanos = isOnVmList(member) ? suspicionTimeoutNanos() : settings.unlistedSuspicionNanos();
        suspicions.start(name, nowNanos + timeoutNanos, nowNanos);
        publishChange(name);
    }

    private void declareDead(String name, long nowNanos) {
        suspicions.cancel(name);
        Member member = table.member(name);
        if (member != null && member.state() == MemberState.SUSPECT) {
            table.changeState(member, MemberState.DEAD, nowNanos);
            publishChange(name);
        }
    }

    private void publishChange(String name) {
        Member member = table.member(name);
        gossip.add(member.update());
        out.add(new MembershipEffect.MemberChanged(member, false));
    }

    private void leave(MemberState state) {
        self.setState(state);
        gossip.add(self.update());
        out.add(new MembershipEffect.MemberChanged(selfMember(), false));
        sendGossip(LEAVE_FAN_OUT);
    }

    private void updateVmList(List<ListedVm> vms, long nowNanos) {
        vmList = List.copyOf(vms);
        for (Member member : table.matching(candidate -> candidate.state() == MemberState.SUSPECT)) {
            if (!isOnVmList(member)) {
                suspicions.shorten(member.name(), nowNanos + settings.unlistedSuspicionNanos());
            }
        }
    }

    /** Returns true also for an empty list, as the platform may not have answered yet. */
    private boolean isOnVmList(Member member) {
        if (vmList.isEmpty()) {
            return true;
        }
        return vmList.contains(new ListedVm(member.name(), member.address()));
    }

    private void gossipIfDue(long nowNanos) {
        if (gossip.isEmpty() || nowNanos - nextGossipNanos < 0) {
            return;
        }
        nextGossipNanos = nowNanos + settings.gossipPeriodNanos() + lateness.gossipDelayNanos();
        sendGossip(settings.gossipFanOut());
    }

    private void sendGossip(int fanOut) {
        List<Member> receivers = table.matching(member -> member.state() != MemberState.DEAD);
        Shuffles.shuffle(receivers, random);
        for (Member receiver : receivers.subList(0, Math.min(fanOut, receivers.size()))) {
            out.send(receiver.address(), DeliveryMode.DATAGRAM, new Gossip(), receiver.name());
        }
    }

    private long suspicionTimeoutNanos() {
        int rounds = GossipQueue.rounds(table.liveCount() + 1);
        return timeoutMultiplier * (settings.suspicionNanos() + rounds * settings.gossipPeriodNanos());
    }

    private void raiseTimeoutMultiplier() {
        timeoutMultiplier = Math.min(MAX_TIMEOUT_MULTIPLIER, timeoutMultiplier + 1);
    }
}
