package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.Shuffles;
import org.dotterelcourse.coordination.membership.MembershipMessage.Sync;
import org.dotterelcourse.coordination.membership.MembershipMessage.Table;

/** Brings whole tables together: on joining, at a slow period with a random member, and after a partition. */
final class TableExchange {

    private static final int SEEDS_A_ROUND = 3;
    private static final int MANY_RUMOURS = 32;
    private static final int BUSY_SYNC_FACTOR = 10;
    private static final int YOUNG_PERIODS = 10;

    private final SelfRecord self;
    private final MemberTable table;
    private final Rumours rumours;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final Outbox out;
    private final long startNanos;
    private long nextSyncNanos;
    private long nextReconnectNanos;
    private long nextJoinNanos;

    TableExchange(
            SelfRecord self,
            MemberTable table,
            Rumours rumours,
            MembershipSettings settings,
            RandomGenerator random,
            Outbox out,
            long nowNanos) {
        this.self = self;
        this.table = table;
        this.rumours = rumours;
        this.settings = settings;
        this.random = random;
        this.out = out;
        startNanos = nowNanos;
        nextJoinNanos = nowNanos;
        nextSyncNanos = nowNanos + random.nextLong(settings.probePeriodNanos());
        nextReconnectNanos = nowNanos + random.nextLong(settings.reconnectPeriodNanos());
    }

    void tick(long nowNanos, List<ListedVm> listed) {
        join(nowNanos, listed);
        sync(nowNanos);
        reconnect(nowNanos, listed);
    }

    /** Compares tables with the next tick. */
    void soon(long nowNanos) {
        nextSyncNanos = nowNanos;
    }

    /** Until anybody is known, offers the empty table to a few seeds and wants theirs. */
    private void join(long nowNanos, List<ListedVm> listed) {
        if (nowNanos - nextJoinNanos < 0 || table.livingCount() > 0 || listed.isEmpty()) {
            return;
        }
        nextJoinNanos = nowNanos + settings.probePeriodNanos();
        List<ListedVm> seeds = new ArrayList<>(listed);
        Shuffles.shuffle(seeds, random);
        for (ListedVm seed : seeds.subList(0, Math.min(SEEDS_A_ROUND, seeds.size()))) {
            sendTable(seed.address(), true);
        }
    }

    /** News beyond what messages can carry soon, as after a partition has healed, goes by whole tables. */
    private void sync(long nowNanos) {
        if (nowNanos - nextSyncNanos < 0) {
            return;
        }
        nextSyncNanos = nowNanos + syncPeriod(nowNanos);
        List<Member> partners = table.where(member -> member.state() == MemberState.ALIVE);
        if (!partners.isEmpty()) {
            Member partner = partners.get(random.nextInt(partners.size()));
            Sync sync = new Sync(table.digest(self.update()));
            out.send(partner.address(), Path.STREAM, sync, partner.name());
        }
    }

    /** A new process may have joined through one that is new itself, as when a data centre starts at once. */
    private long syncPeriod(long nowNanos) {
        if (nowNanos - startNanos < YOUNG_PERIODS * settings.probePeriodNanos()) {
            return settings.probePeriodNanos();
        }
        boolean busy = rumours.size() > MANY_RUMOURS;
        return settings.syncPeriodNanos() / (busy ? BUSY_SYNC_FACTOR : 1);
    }

    /**
     * Two parts of the fleet that lost each other for longer than the suspicion timeout hold each other dead, and
     * nobody probes the dead. One attempt a period at such a member, or at a listed VM that is unknown here, brings
     * the parts together again.
     */
    private void reconnect(long nowNanos, List<ListedVm> listed) {
        if (nowNanos - nextReconnectNanos < 0) {
            return;
        }
        nextReconnectNanos = nowNanos + settings.reconnectPeriodNanos();
        List<InetSocketAddress> candidates = new ArrayList<>();
        for (ListedVm vm : listed) {
            if (!table.holds(vm.address())) {
                candidates.add(vm.address());
            }
        }
        for (Member member : table.where(each -> each.state() == MemberState.DEAD)) {
            if (!table.holds(member.address()) && !candidates.contains(member.address())) {
                candidates.add(member.address());
            }
        }
        if (!candidates.isEmpty()) {
            reach(candidates.get(random.nextInt(candidates.size())));
        }
    }

    private void reach(InetSocketAddress address) {
        List<Update> claims = new ArrayList<>();
        for (Member member : table.where(each -> each.address().equals(address))) {
            claims.add(member.update());
        }
        Sync sync = new Sync(table.digest(self.update()));
        out.sendBare(address, Path.DATAGRAM, sync, claims);
    }

    void sendTable(InetSocketAddress to, boolean replyWanted) {
        List<Update> updates = new ArrayList<>();
        for (Member member : table.all()) {
            updates.add(member.update());
        }
        out.sendBare(to, Path.STREAM, new Table(replyWanted), updates);
    }
}
