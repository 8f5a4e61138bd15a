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
 * Probes one member a period: each once, in random order, before any is probed again, so that the time to detection is
 * bounded. A ping that is lost, or a cut between just two members, must not make a suspect: members in other data
 * centres are asked to probe too, since their way is another one, and the target is asked once more by a connection
 * that is opened for this.
 */
final class Prober {

    private static final int RELAY_BOUND = 256;

    private final SelfRecord self;
    private final MemberTable table;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final Outbox out;
    private final Deque<String> order = new ArrayDeque<>();
    private final Map<Long, Relay> relays = new LinkedHashMap<>();
    private Probe current;
    private long sequence;
    private long nextNanos;

    Prober(
            SelfRecord self,
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
        this.nextNanos = nowNanos + random.nextLong(settings.probePeriodNanos());
    }

    /** Moves the probe on; returns the name of a member whose probe has failed, or null. */
    String tick(long nowNanos, int slowness) {
        String failed = null;
        if (current != null) {
            failed = advance(nowNanos, slowness);
        }
        if (current == null && nowNanos - nextNanos >= 0) {
            start(nowNanos);
        }
        dropOldRelays(nowNanos);
        return failed;
    }

    /** Forgets the running probe: whether it was answered while this process was paused can't be told. */
    void abandon(long nowNanos) {
        current = null;
        relays.clear();
        nextNanos = nowNanos + settings.probePeriodNanos();
    }

    /** Takes an answer; returns the name of the member that was probed by this process, or null. */
    String acknowledged(Ack ack) {
        Relay relay = relays.remove(ack.sequence());
        if (relay != null) {
            out.send(relay.requester, Path.DATAGRAM, new Ack(relay.sequence, ack.notMe()), null);
            return null;
        }
        if (current == null || current.sequence != ack.sequence()) {
            return null;
        }
        String name = current.target;
        current = null;
        return name;
    }

    /** Pings on behalf of another member. */
    void relay(PingRequest request, InetSocketAddress requester, long nowNanos) {
        if (relays.size() >= RELAY_BOUND) {
            return;
        }
        sequence++;
        relays.put(sequence, new Relay(requester, request.sequence(), nowNanos));
        out.send(request.address(), Path.DATAGRAM, new Ping(sequence, request.target()), request.target());
    }

    /** Asks a member outside of the probes' order; nobody waits for the answer. */
    void ask(Member member) {
        sequence++;
        out.send(member.address(), Path.DATAGRAM, new Ping(sequence, member.name()), member.name());
    }

    private void start(long nowNanos) {
        Member target = next();
        nextNanos = nowNanos + settings.probePeriodNanos();
        if (target == null) {
            return;
        }
        sequence++;
        current = new Probe(target.name(), sequence, nowNanos);
        out.send(target.address(), Path.DATAGRAM, new Ping(sequence, target.name()), target.name());
    }

    private String advance(long nowNanos, int slowness) {
        Member target = table.member(current.target);
        if (target == null || target.state() == MemberState.DEAD) {
            current = null;
            return null;
        }
        long age = nowNanos - current.startNanos;
        if (!current.indirect && age >= settings.pingTimeoutNanos() * slowness) {
            current.indirect = true;
            askOthers(target);
        }
        if (age < settings.probePeriodNanos() * slowness) {
            return null;
        }
        current = null;
        return target.name();
    }

    private void askOthers(Member target) {
        Ping ping = new Ping(current.sequence, target.name());
        out.send(target.address(), Path.FRESH_STREAM, ping, target.name());
        PingRequest request = new PingRequest(current.sequence, target.name(), target.address());
        for (Member helper : helpers(target)) {
            out.send(helper.address(), Path.DATAGRAM, request, helper.name());
        }
    }

    private List<Member> helpers(Member target) {
        List<Member> candidates = table.where(
                member -> member.state() == MemberState.ALIVE && !member.name().equals(target.name()));
        Shuffles.shuffle(candidates, random);
        String own = self.payload().dataCentre();
        candidates.sort(
                Comparator.comparing(member -> member.payload().dataCentre().equals(own)));
        return candidates.subList(0, Math.min(settings.helpers(), candidates.size()));
    }

    private Member next() {
        for (int rounds = 0; rounds < 2; rounds++) {
            while (!order.isEmpty()) {
                Member member = table.member(order.removeFirst());
                if (member != null && member.state() != MemberState.DEAD) {
                    return member;
                }
            }
            shuffle();
        }
        return null;
    }

    private void shuffle() {
        List<String> names = new ArrayList<>();
        for (Member member : table.where(member -> member.state() != MemberState.DEAD)) {
            names.add(member.name());
        }
        Shuffles.shuffle(names, random);
        order.addAll(names);
    }

    private void dropOldRelays(long nowNanos) {
        Iterator<Relay> each = relays.values().iterator();
        while (each.hasNext() && nowNanos - each.next().sinceNanos > settings.probePeriodNanos()) {
            each.remove();
        }
    }

    /** The running probe. */
    private static final class Probe {
        private final String target;
        private final long sequence;
        private final long startNanos;
        private boolean indirect;

        private Probe(String target, long sequence, long startNanos) {
            this.target = target;
            this.sequence = sequence;
            this.startNanos = startNanos;
        }
    }

    private record Relay(InetSocketAddress requester, long sequence, long sinceNanos) {}
}
