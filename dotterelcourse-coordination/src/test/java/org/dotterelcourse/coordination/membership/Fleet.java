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

/** Memberships on a simulated network. All messages are encoded and decoded, as they are between processes. */
final class Fleet {

    /** An encoded message and how it was sent. */
    record Packet(DeliveryMode mode, byte[] bytes) {}

    /** The death of a member as recorded by one node. */
    record Death(int observer, String name, long incarnation, long atNanos) {}

    final SimulatedNetwork<Packet> network;
    final Map<Integer, Membership> nodes = new TreeMap<>();
    final List<Death> deaths = new ArrayList<>();
    final List<MembershipEffect.PauseDetected> pauses = new ArrayList<>();
    final List<MembershipEffect.Superseded> superseded = new ArrayList<>();
    int largestDatagram;
    long datagramBytes;
    long receivedUpdates;
    private final Map<Integer, Long> nextTickNanos = new HashMap<>();
    private final MembershipSettings settings;
    private final String clientAddress;
    private final Random random;
    private List<ListedVm> vmList = List.of();

    Fleet(int size, long seed, MembershipSettings settings) {
        this(size, seed, settings, "10.0.0.1:8080");
    }

    Fleet(int size, long seed, MembershipSettings settings, String clientAddress) {
        this.clientAddress = clientAddress;
        this.settings = settings;
        this.random = new Random(seed);
        this.network = new SimulatedNetwork<>(seed);
        for (int i = 0; i < size; i++) {
            start(i, name(i), 1);
        }
        setVmList(nodes.keySet());
        sendVmList();
    }

    static String name(int node) {
        return "entry-" + node;
    }

    void setVmList(Collection<Integer> listedNodes) {
        List<ListedVm> vms = new ArrayList<>();
        for (int node : listedNodes) {
            vms.add(new ListedVm(name(node), SimulatedNetwork.address(node)));
        }
        vmList = vms;
    }

    void sendVmList() {
        for (int node : List.copyOf(nodes.keySet())) {
            submit(node, new MembershipEvent.VmListReceived(vmList));
        }
    }

    /** Starts a process on a node, replacing one that runs there. */
    void start(int node, String name, long incarnation) {
        Membership membership = Membership.builder()
                .self(new MemberId(name, incarnation))
                .address(SimulatedNetwork.address(node))
                .payload(new Payload(clientAddress, "dc-" + node % 3, "muscat", 0, 0, 0))
                .random(new Random(random.nextLong()))
                .settings(settings)
                .build(network.nowNanos());
        nodes.put(node, membership);
        nextTickNanos.put(node, network.nowNanos() + random.nextLong(settings.tickNanos()));
        network.attach(node, (from, packet) -> receive(node, from, packet));
        submit(node, new MembershipEvent.VmListReceived(vmList));
    }

    void stop(int node) {
        nodes.remove(node);
        network.detach(node);
    }

    void submit(int node, MembershipEvent event) {
        execute(node, nodes.get(node).on(event, network.nowNanos()));
    }

    /** Advances the simulated time; a paused node gets no ticks. */
    void run(long nanos) {
        long end = network.nowNanos() + nanos;
        while (network.nowNanos() < end) {
            network.advanceTo(network.nowNanos() + 10 * SimulatedNetwork.MILLISECOND);
            for (int node : List.copyOf(nodes.keySet())) {
                if (!network.isPaused(node) && nextTickNanos.get(node) <= network.nowNanos()) {
                    nextTickNanos.put(node, network.nowNanos() + settings.tickNanos());
                    submit(node, new MembershipEvent.Tick());
                }
            }
        }
    }

    MemberState state(int observer, String name) {
        for (Member member : nodes.get(observer).members()) {
            if (member.name().equals(name)) {
                return member.state();
            }
        }
        return null;
    }

    /** Returns whether each running process sees exactly the running processes, all in the given state. */
    boolean converged(MemberState state) {
        for (Membership each : nodes.values()) {
            int matches = 0;
            for (Member member : each.members()) {
                if (member.state() == state) {
                    matches++;
                } else if (member.state() != MemberState.DEAD) {
                    return false;
                }
            }
            if (matches != nodes.size()) {
                return false;
            }
        }
        return true;
    }

    private void receive(int node, int from, Packet packet) {
        MembershipMessage message = MembershipCodec.decode(packet.bytes).orElseThrow();
        receivedUpdates += message.updates().size();
        DeliveryMode mode = packet.mode == DeliveryMode.DATAGRAM ? DeliveryMode.DATAGRAM : DeliveryMode.STREAM;
        submit(node, new MembershipEvent.Received(SimulatedNetwork.address(from), mode, message));
    }

    private void execute(int node, List<MembershipEffect> effects) {
        for (MembershipEffect effect : effects) {
            if (effect instanceof MembershipEffect.Send send) {
                Packet packet = new Packet(send.mode(), MembershipCodec.encode(send.message()));
                if (send.mode() == DeliveryMode.DATAGRAM) {
                    largestDatagram = Math.max(largestDatagram, packet.bytes.length);
                    datagramBytes += packet.bytes.length;
                }
                network.send(node, SimulatedNetwork.node(send.to()), packet, send.mode() != DeliveryMode.DATAGRAM);
            } else if (effect instanceof MembershipEffect.MemberChanged changed) {
                recordDeath(node, changed.member());
            } else if (effect instanceof MembershipEffect.PauseDetected pause) {
                pauses.add(pause);
            } else if (effect instanceof MembershipEffect.Superseded by) {
                superseded.add(by);
            }
        }
    }

    private void recordDeath(int observer, Member member) {
        if (member.state() == MemberState.DEAD) {
            deaths.add(new Death(observer, member.name(), member.id().incarnation(), network.nowNanos()));
        }
    }
}
