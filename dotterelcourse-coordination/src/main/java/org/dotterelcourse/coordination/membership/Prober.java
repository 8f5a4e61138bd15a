package org.dotterelcourse.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.Shuffles;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ack;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ping;
import org.dotterelcourse.coordination.membership.MembershipMessage.PingRequest;

/**
 * SWIM's failure detector. It probes one member a period, each member once in random order before any is probed again,
 * which bounds the time to detection. A lost ping or a blocked link between two members must not raise a suspicion.
 * Before a probe fails, members in other data centres, which have a different network path, are therefore requested to
 * probe the target too, and the target is pinged again on a new connection.
 */
final class Prober {

    private static final int MAX_RELAYED_PINGS = 256;

    private final LocalMember self;
    private final MemberTable table;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final Outbox out;
    private final Deque<String> probeOrder = new ArrayDeque<>();
    private final Map<Long, RelayedPing> relayedPings = new LinkedHashMap<>();
    private Probe currentProbe;
    private long sequence;
    private long nextProbeNanos;

    Prober(
            LocalMember self,
            MemberTable table,
            MembershipSettings settings,
            RandomGenerator random,
            Outbox out,
            long nowNanos) {
        this.self = self;
        this.table = table;
        this.settings = settings;
        this.random = random;
        this.out = out;
        this.sequence = random.nextLong(1, 1L << 40);
        this.nextProbeNanos = nowNanos + random.nextLong(settings.probePeriodNanos());
    }

    /**
     * Advances the current probe and starts the next one when due.
     *
     * @param timeoutMultiplier factor for the timeouts of the probe
     * @return the name of the member whose probe has failed, or null
     */
    String tick(long nowNanos, int timeoutMultiplier) {
        String failed = null;
        if (currentProbe != null) {
            failed = advance(nowNanos, timeoutMultiplier);
        }
        if (currentProbe == null && nowNanos - nextProbeNanos >= 0) {
            start(nowNanos);
        }
        evictOldRelayedPings(nowNanos);
        return failed;
    }

    /** Cancels the current probe after a pause of this process, as an answer may have been lost during the pause. */
    void cancel(long nowNanos) {
        currentProbe = null;
        relayedPings.clear();
        nextProbeNanos = nowNanos + settings.probePeriodNanos();
    }

    /** Extends the current probe by a time in which this process could not read an answer. */
    void postpone(long nanos) {
        if (currentProbe != null) {
            currentProbe.startNanos += nanos;
        }
    }

    /**
     * Handles an ack, forwarding it if it answers a relayed ping.
     *
     * @return the name of the target if the ack answers the current probe of this process, otherwise null
     */
    String handleAck(Ack ack) {
        RelayedPing relayed = relayedPings.remove(ack.sequence());
        if (relayed != null) {
            out.send(relayed.requester, DeliveryMode.DATAGRAM, new Ack(relayed.sequence, ack.wrongTarget()), null);
            return null;
        }
        if (currentProbe == null || currentProbe.sequence != ack.sequence()) {
            return null;
        }
        String name = currentProbe.target;
        currentProbe = null;
        return name;
    }

    /** Pings a member on behalf of another one. */
    void relayPing(PingRequest request, InetSocketAddress requester, long nowNanos) {
        if (relayedPings.size() >= MAX_RELAYED_PINGS) {
            return;
        }
        sequence++;
        relayedPings.put(sequence, new RelayedPing(requester, request.sequence(), nowNanos));
        out.send(request.address(), DeliveryMode.DATAGRAM, new Ping(sequence, request.target()), request.target());
    }

    /** Pings a member outside of the probe order, without tracking the ack. */
    void ping(Member member) {
        sequence++;
        out.send(member.address(), DeliveryMode.DATAGRAM, new Ping(sequence, member.name()), member.name());
    }

    private void start(long nowNanos) {
        Member target = nextTarget();
        nextProbeNanos = nowNanos + settings.probePeriodNanos();
        if (target == null) {
            return;
        }
        sequence++;
        currentProbe = new Probe(target.name(), sequence, nowNanos);
        out.send(target.address(), DeliveryMode.DATAGRAM, new Ping(sequence, target.name()), target.name());
    }

    private String advance(long nowNanos, int timeoutMultiplier) {
        Member target = table.member(currentProbe.target);
        if (target == null || target.state() == MemberState.DEAD) {
            currentProbe = null;
            return null;
        }
        long ageNanos = nowNanos - currentProbe.startNanos;
        if (!currentProbe.indirect && ageNanos >= settings.pingTimeoutNanos() * timeoutMultiplier) {
            currentProbe.indirect = true;
            probeIndirectly(target);
        }
        if (ageNanos < settings.probePeriodNanos() * timeoutMultiplier) {
            return null;
        }
        currentProbe = null;
        return target.name();
    }

    private void probeIndirectly(Member target) {
        Ping ping = new Ping(currentProbe.sequence, target.name());
        out.send(target.address(), DeliveryMode.FRESH_STREAM, ping, target.name());
        PingRequest request = new PingRequest(currentProbe.sequence, target.name(), target.address());
        for (Member prober : indirectProbers(target)) {
            out.send(prober.address(), DeliveryMode.DATAGRAM, request, prober.name());
        }
    }

    /** Selects random live members, preferring those in other data centres. */
    private List<Member> indirectProbers(Member target) {
        List<Member> candidates = table.matching(
                member -> member.state() == MemberState.ALIVE && !member.name().equals(target.name()));
        Shuffles.shuffle(candidates, random);
        String ownDataCentre = self.payload().dataCentre();
        candidates.sort(
                Comparator.comparing(member -> member.payload().dataCentre().equals(ownDataCentre)));
        return candidates.subList(0, Math.min(settings.indirectProbers(), candidates.size()));
    }

    private Member nextTarget() {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!probeOrder.isEmpty()) {
                Member member = table.member(probeOrder.removeFirst());
                if (member != null && member.state() != MemberState.DEAD) {
                    return member;
                }
            }
            refillProbeOrder();
        }
        return null;
    }

    private void refillProbeOrder() {
        List<String> names = new ArrayList<>();
        for (Member member : table.matching(member -> member.state() != MemberState.DEAD)) {
            names.add(member.name());
        }
        Shuffles.shuffle(names, random);
        probeOrder.addAll(names);
    }

    private void evictOldRelayedPings(long nowNanos) {
        Iterator<RelayedPing> iterator = relayedPings.values().iterator();
        while (iterator.hasNext() && nowNanos - iterator.next().sentNanos > settings.probePeriodNanos()) {
            iterator.remove();
        }
    }

    /** A probe that waits for an ack. */
    private static final class Probe {
        private final String target;
        private final long sequence;
        private long startNanos;
        private boolean indirect;

        private Probe(String target, long sequence, long startNanos) {
            this.target = target;
            this.sequence = sequence;
            this.startNanos = startNanos;
        }
    }

    /** A ping sent on behalf of another member, with that member's sequence number. */
    private record RelayedPing(InetSocketAddress requester, long sequence, long sentNanos) {}
}
