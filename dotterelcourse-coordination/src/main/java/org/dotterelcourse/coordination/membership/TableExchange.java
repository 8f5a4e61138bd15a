package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.Shuffles;
import org.dotterelcourse.coordination.membership.MembershipMessage.Sync;
import org.dotterelcourse.coordination.membership.MembershipMessage.Table;

/**
 * Synchronizes whole membership tables (anti-entropy): with seeds on joining, periodically with a random member, and
 * with members that are dead in the local view, to merge the parts of the fleet after a partition.
 */
final class TableExchange {

    private static final int SEEDS_PER_ROUND = 3;
    private static final int GOSSIP_BACKLOG_THRESHOLD = 32;
    private static final int BACKLOG_SYNC_FACTOR = 10;
    private static final int STARTUP_PROBE_PERIODS = 15;

    private final LocalMember self;
    private final MemberTable table;
    private final GossipQueue gossip;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final Outbox out;
    private final long startNanos;
    private long nextSyncNanos;
    private long nextReconnectNanos;
    private long nextJoinNanos;
    private long startupPeriodNanos;

    TableExchange(
            LocalMember self,
            MemberTable table,
            GossipQueue gossip,
            MembershipSettings settings,
            RandomGenerator random,
            Outbox out,
            long nowNanos) {
        this.self = self;
        this.table = table;
        this.gossip = gossip;
        this.settings = settings;
        this.random = random;
        this.out = out;
        startNanos = nowNanos;
        nextJoinNanos = nowNanos;
        startupPeriodNanos = settings.probePeriodNanos();
        nextSyncNanos = nowNanos + random.nextLong(settings.probePeriodNanos());
        nextReconnectNanos = nowNanos + random.nextLong(settings.reconnectPeriodNanos());
    }

    void tick(long nowNanos, List<ListedVm> vmList) {
        join(nowNanos, vmList);
        sync(nowNanos);
        reconnect(nowNanos, vmList);
    }

    /** Returns whether this process has joined only lately, and still compares tables more often. */
    boolean isStarting(long nowNanos) {
        return nowNanos - startNanos < STARTUP_PROBE_PERIODS * settings.probePeriodNanos();
    }

    /** Schedules a sync for the next tick. */
    void scheduleSync(long nowNanos) {
        nextSyncNanos = nowNanos;
    }

    /** Sends the table to a few seeds and requests theirs, each probe period until there is a live member. */
    private void join(long nowNanos, List<ListedVm> vmList) {
        if (nowNanos - nextJoinNanos < 0 || table.liveCount() > 0 || vmList.isEmpty()) {
            return;
        }
        nextJoinNanos = nowNanos + settings.probePeriodNanos();
        List<ListedVm> seeds = new ArrayList<>(vmList);
        Shuffles.shuffle(seeds, random);
        for (ListedVm seed : seeds.subList(0, Math.min(SEEDS_PER_ROUND, seeds.size()))) {
            sendTable(seed.address(), true);
        }
    }

    /** Compares tables with a random live member. */
    private void sync(long nowNanos) {
        if (nowNanos - nextSyncNanos < 0) {
            return;
        }
        nextSyncNanos = nowNanos + syncPeriod(nowNanos);
        List<Member> partners = table.matching(member -> member.state() == MemberState.ALIVE);
        if (!partners.isEmpty()) {
            Member partner = partners.get(random.nextInt(partners.size()));
            Sync sync = new Sync(table.digest(self.update()));
            out.send(partner.address(), DeliveryMode.STREAM, sync, partner.name());
        }
    }

    /**
     * Returns the time until the next sync. It is short after the start, because when a whole data centre starts, a
     * process may have joined through another new one with an incomplete table, and doubles each time: whole tables are
     * what costs a starting process most. It is also short while more updates are pending than gossip can carry soon, for
     * example after a partition.
     */
    private long syncPeriod(long nowNanos) {
        if (isStarting(nowNanos)) {
            long period = startupPeriodNanos;
            startupPeriodNanos = 2 * period;
            return period;
        }
        boolean backlogged = gossip.size() > GOSSIP_BACKLOG_THRESHOLD;
        return settings.syncPeriodNanos() / (backlogged ? BACKLOG_SYNC_FACTOR : 1);
    }

    /**
     * Tries to reach one dead member, or one listed VM that has no live member, each period. Two parts of the fleet that
     * were partitioned for longer than the suspicion timeout hold each other dead, and dead members are not probed;
     * without this, the parts would not merge again.
     */
    private void reconnect(long nowNanos, List<ListedVm> vmList) {
        if (nowNanos - nextReconnectNanos < 0) {
            return;
        }
        nextReconnectNanos = nowNanos + settings.reconnectPeriodNanos();
        List<InetSocketAddress> candidates = new ArrayList<>();
        for (ListedVm vm : vmList) {
            if (!table.hasLiveMemberAt(vm.address())) {
                candidates.add(vm.address());
            }
        }
        for (Member member : table.matching(candidate -> candidate.state() == MemberState.DEAD)) {
            if (!table.hasLiveMemberAt(member.address()) && !candidates.contains(member.address())) {
                candidates.add(member.address());
            }
        }
        if (!candidates.isEmpty()) {
            sendSync(candidates.get(random.nextInt(candidates.size())));
        }
    }

    /** Sends a sync with the updates about the members at this address, so that they can refute them. */
    private void sendSync(InetSocketAddress address) {
        List<Update> updates = new ArrayList<>();
        for (Member member : table.matching(candidate -> candidate.address().equals(address))) {
            updates.add(member.update());
        }
        Sync sync = new Sync(table.digest(self.update()));
        out.sendWithoutGossip(address, DeliveryMode.DATAGRAM, sync, updates);
    }

    /** Sends the table if it differs from that of the sender of a sync, and requests what this process lacks. */
    void answer(Sync sync, InetSocketAddress from) {
        if (sync.digest() != table.digest(self.update())) {
            sendTable(from, true);
        }
    }

    private void sendTable(InetSocketAddress to, boolean replyWanted) {
        List<Update> updates = new ArrayList<>();
        for (Member member : table.members()) {
            updates.add(member.update());
        }
        out.sendWithoutGossip(to, DeliveryMode.STREAM, new Table(replyWanted), updates);
    }

    /** Answers a table with the updates that it lacks. */
    void sendMissing(InetSocketAddress to, List<Update> received) {
        Map<String, Update> known = new HashMap<>();
        for (Update update : received) {
            known.put(update.id().name(), update);
        }
        List<Update> missing = new ArrayList<>();
        for (Member member : table.members()) {
            if (isNewer(member, known.get(member.name()))) {
                missing.add(member.update());
            }
        }
        out.sendWithoutGossip(to, DeliveryMode.STREAM, new Table(false), missing);
    }

    private static boolean isNewer(Member member, Update known) {
        return known == null
                || member.update().overrides(known.id().incarnation(), known.state())
                || member.id().incarnation() == known.id().incarnation()
                        && member.payloadVersion() > known.payloadVersion();
    }
}
