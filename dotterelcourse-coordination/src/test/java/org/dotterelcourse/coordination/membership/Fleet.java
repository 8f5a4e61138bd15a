package org.dotterelcourse.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.SimulatedNetwork;

/** Membership machines on a wire. All messages go through the codec, as they do between processes. */
final class Fleet {

    /** A message as bytes, with the path it took. */
    record Packet(Path path, byte[] bytes) {}

    /** A member declared dead by another, with both their positions. */
    record Death(int by, String name, long incarnation, long atNanos) {}

    final SimulatedNetwork<Packet> wire;
    final Map<Integer, Membership> nodes = new TreeMap<>();
    final List<Death> deaths = new ArrayList<>();
    final List<MembershipEffect.PauseDetected> pauses = new ArrayList<>();
    final List<MembershipEffect.Superseded> superseded = new ArrayList<>();
    int largestDatagram;
    long datagramBytes;
    private final Map<Integer, Long> nextTick = new HashMap<>();
    private final MembershipSettings settings;
    private final String callersAddress;
    private final Random random;
    private List<ListedVm> list = List.of();

    Fleet(int size, long seed, MembershipSettings settings) {
        this(size, seed, settings, "10.0.0.1:8080");
    }

    Fleet(int size, long seed, MembershipSettings settings, String callersAddress) {
        this.callersAddress = callersAddress;
        this.settings = settings;
        this.random = new Random(seed);
        this.wire = new SimulatedNetwork<>(seed);
        for (int i = 0; i < size; i++) {
            start(i, name(i), 1);
        }
        list(nodes.keySet());
        tellList();
    }

    static String name(int node) {
        return "entry-" + node;
    }

    void list(Collection<Integer> listed) {
        List<ListedVm> vms = new ArrayList<>();
        for (int node : listed) {
            vms.add(new ListedVm(name(node), SimulatedNetwork.address(node)));
        }
        list = vms;
    }

    void tellList() {
        for (int node : List.copyOf(nodes.keySet())) {
            tell(node, new MembershipEvent.VmListReceived(list));
        }
    }

    /** Starts a process at a place, in place of any that ran there. */
    void start(int node, String name, long incarnation) {
        Membership membership = Membership.builder()
                .self(new MemberId(name, incarnation))
                .address(SimulatedNetwork.address(node))
                .payload(new Payload(callersAddress, "dc-" + node % 3, "muscat", 0, 0, 0))
                .random(new Random(random.nextLong()))
                .settings(settings)
                .build(wire.nowNanos());
        nodes.put(node, membership);
        nextTick.put(node, wire.nowNanos() + random.nextLong(settings.tickNanos()));
        wire.attach(node, (from, packet) -> receive(node, from, packet));
        tell(node, new MembershipEvent.VmListReceived(list));
    }

    void stop(int node) {
        nodes.remove(node);
        wire.detach(node);
    }

    void tell(int node, MembershipEvent event) {
        carryOut(node, nodes.get(node).on(event, wire.nowNanos()));
    }

    /** Runs for a while; a paused node does not tick. */
    void run(long nanos) {
        long end = wire.nowNanos() + nanos;
        while (wire.nowNanos() < end) {
            wire.advanceTo(wire.nowNanos() + 10 * SimulatedNetwork.MILLISECOND);
            for (int node : List.copyOf(nodes.keySet())) {
                if (!wire.isPaused(node) && nextTick.get(node) <= wire.nowNanos()) {
                    nextTick.put(node, wire.nowNanos() + settings.tickNanos());
                    tell(node, new MembershipEvent.Tick());
                }
            }
        }
    }

    MemberState state(int by, String of) {
        for (Member member : nodes.get(by).members()) {
            if (member.name().equals(of)) {
                return member.state();
            }
        }
        return null;
    }

    /** Whether each running process sees exactly the running ones, all in the given state. */
    boolean converged(MemberState state) {
        for (Membership each : nodes.values()) {
            int good = 0;
            for (Member member : each.members()) {
                if (member.state() == state) {
                    good++;
                } else if (member.state() != MemberState.DEAD) {
                    return false;
                }
            }
            if (good != nodes.size()) {
                return false;
            }
        }
        return true;
    }

    private void receive(int node, int from, Packet packet) {
        MembershipMessage message = MembershipCodec.decode(packet.bytes).orElseThrow();
        Path path = packet.path == Path.DATAGRAM ? Path.DATAGRAM : Path.STREAM;
        tell(node, new MembershipEvent.Received(SimulatedNetwork.address(from), path, message));
    }

    private void carryOut(int node, List<MembershipEffect> effects) {
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.Send send) {
                Packet packet = new Packet(send.path(), MembershipCodec.encode(send.message()));
                if (send.path() == Path.DATAGRAM) {
                    largestDatagram = Math.max(largestDatagram, packet.bytes.length);
                    datagramBytes += packet.bytes.length;
                }
                wire.send(node, SimulatedNetwork.node(send.to()), packet, send.path() != Path.DATAGRAM);
            } else if (effect instanceof MembershipEffect.MemberChanged changed) {
                note(node, changed.member());
            } else if (effect instanceof MembershipEffect.PauseDetected pause) {
                pauses.add(pause);
            } else if (effect instanceof MembershipEffect.Superseded by) {
                superseded.add(by);
            }
        }
    }

    private void note(int node, Member member) {
        if (member.state() == MemberState.DEAD) {
            deaths.add(new Death(node, member.name(), member.id().incarnation(), wire.nowNanos()));
        }
    }
}
