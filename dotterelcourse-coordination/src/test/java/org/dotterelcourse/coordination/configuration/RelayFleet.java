package org.dotterelcourse.coordination.configuration;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.dotterelcourse.coordination.SimulatedNetwork;

/**
 * Simulation of relays on a network, with a configuration service that can be down, stale or return a wrong entry to
 * one reader.
 */
final class RelayFleet {

    private static final long READ_NANOS = 5 * SimulatedNetwork.MILLISECOND;
    private static final long WATCH_NANOS = 10 * SimulatedNetwork.SECOND;
    private static final long TICK_NANOS = 100 * SimulatedNetwork.MILLISECOND;
    private static final int READERS_PER_DATA_CENTRE = 2;

    final SimulatedNetwork<byte[]> network;
    final Map<Integer, ConfigurationRelay> nodes = new TreeMap<>();
    final Map<Integer, List<Long>> inForce = new HashMap<>();
    final List<RelayAlarm> alarms = new ArrayList<>();
    final TreeMap<Long, Entry> published = new TreeMap<>();
    FoldState reference = FoldState.EMPTY;
    boolean serviceDown;
    long visibleHead = Long.MAX_VALUE;
    int misledReader = -1;
    int reads;
    private final Random random;
    private final List<Read> pending = new ArrayList<>();

    private record Read(int node, ConfigurationRelay relay, RelayEffect read, long dueNanos) {}

    RelayFleet(int size, long seed) {
        network = new SimulatedNetwork<>(seed);
        random = new Random(seed);
        publish(true, "first");
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    /**
     * Accepts a patch if its first word is the number in force; the document is the concatenation of the accepted
     * bodies.
     */
    static EntryReducer.Result fold(Optional<Content> inForce, Entry entry) {
        String body = new String(entry.body(), StandardCharsets.UTF_8);
        if (entry.whole()) {
            return new EntryReducer.Accepted(entry.body());
        }
        long base = Long.parseLong(body.substring(0, body.indexOf(' ')));
        if (inForce.isEmpty() || inForce.get().number() != base) {
            return new EntryReducer.Refused(List.of("base " + base));
        }
        String before = new String(inForce.get().bytes(), StandardCharsets.UTF_8);
        return new EntryReducer.Accepted((before + "\n" + body).getBytes(StandardCharsets.UTF_8));
    }

    void publish(boolean whole, String text) {
        long number = published.isEmpty() ? 1 : published.lastKey() + 1;
        Entry entry = new Entry(number, whole, text.getBytes(StandardCharsets.UTF_8));
        published.put(number, entry);
        reference = reference.apply(RelayFleet::fold, entry).state();
    }

    void publishPatch(boolean wrongBase) {
        publish(false, reference.number() - (wrongBase ? 1 : 0) + " change " + random.nextInt());
    }

    void start(int node) {
        nodes.put(
                node,
                new ConfigurationRelay(
                        RelayFleet::fold, RelaySettings.STANDARD, new Random(random.nextLong()), network.nowNanos()));
        inForce.put(node, new ArrayList<>());
        network.attach(
                node,
                (from, bytes) -> deliver(
                        node,
                        new RelayEvent.Received(
                                "n" + from,
                                SimulatedNetwork.address(from),
                                ConfigurationCodec.decode(bytes).orElseThrow())));
        for (int other : nodes.keySet()) {
            deliver(other, peersChanged(other));
        }
    }

    void run(long nanos) {
        long endNanos = network.nowNanos() + nanos;
        while (network.nowNanos() < endNanos) {
            network.advanceTo(network.nowNanos() + TICK_NANOS / 10);
            answerReads();
            if (network.nowNanos() / (TICK_NANOS / 10) % 10 == 0) {
                tick();
            }
        }
    }

    boolean allAtReference() {
        for (ConfigurationRelay relay : nodes.values()) {
            boolean equal = relay.position() == reference.position()
                    && relay.inForce()
                            .map(Content::digest)
                            .equals(reference.content().map(Content::digest));
            if (!equal) {
                return false;
            }
        }
        return true;
    }

    private RelayEvent.PeersChanged peersChanged(int self) {
        List<RelayPeer> peers = new ArrayList<>();
        for (int node : nodes.keySet()) {
            if (node != self) {
                peers.add(new RelayPeer("n" + node, SimulatedNetwork.address(node), node % 3 == self % 3));
            }
        }
        return new RelayEvent.PeersChanged(peers, self / 3 < READERS_PER_DATA_CENTRE);
    }

    private void tick() {
        for (int node : List.copyOf(nodes.keySet())) {
            if (network.isPaused(node)) {
                continue;
            }
            deliver(node, new RelayEvent.Tick());
            if (random.nextInt(10) == 0) {
                reportRandomPeer(node);
            }
        }
    }

    /** Reports the position of a random peer, as membership messages do about once a second. */
    private void reportRandomPeer(int node) {
        int peer = random.nextInt(nodes.size());
        ConfigurationRelay relay = nodes.get(peer);
        if (peer != node && relay != null) {
            long digest = relay.inForce().map(Content::digest).orElse(0L);
            deliver(node, new RelayEvent.PeerHead("n" + peer, relay.position(), digest));
        }
    }

    private void deliver(int node, RelayEvent event) {
        ConfigurationRelay relay = nodes.get(node);
        for (RelayEffect effect : relay.on(event, network.nowNanos())) {
            if (effect instanceof RelayEffect.SendTo send) {
                byte[] bytes = ConfigurationCodec.encode(send.message());
                network.send(node, SimulatedNetwork.node(send.to()), bytes, false);
            } else if (effect instanceof RelayEffect.InForce changed) {
                inForce.get(node).add(changed.content().number());
            } else if (effect instanceof RelayEffect.AlarmRaised raised) {
                alarms.add(raised.alarm());
            } else if (!(effect instanceof RelayEffect.PositionAdvanced || effect instanceof RelayEffect.Refused)) {
                reads++;
                long delayNanos = effect instanceof RelayEffect.Watch ? WATCH_NANOS : READ_NANOS;
                pending.add(new Read(node, relay, effect, network.nowNanos() + delayNanos));
            }
        }
    }

    private void answerReads() {
        for (Read read : List.copyOf(pending)) {
            boolean headMoved = read.read instanceof RelayEffect.Watch watch && !serviceDown && head() > watch.after();
            boolean due = network.nowNanos() >= read.dueNanos && !network.isPaused(read.node);
            if (headMoved || due) {
                pending.remove(read);
                if (nodes.get(read.node) == read.relay) {
                    deliver(read.node, answer(read));
                }
            }
        }
    }

    private long head() {
        return Math.min(visibleHead, published.lastKey());
    }

    private RelayEvent answer(Read read) {
        if (serviceDown) {
            return new RelayEvent.ReadFailed(0);
        }
        if (read.read instanceof RelayEffect.Watch watch) {
            return head() > watch.after() ? new RelayEvent.HeadRead(head()) : new RelayEvent.WatchEnded();
        }
        if (read.read instanceof RelayEffect.FetchHead) {
            return new RelayEvent.HeadRead(head());
        }
        if (read.read instanceof RelayEffect.FetchWhole) {
            return new RelayEvent.EntryRead(newestWhole());
        }
        long number = ((RelayEffect.Fetch) read.read).number();
        if (number > head()) {
            return new RelayEvent.EntryMissing();
        }
        return new RelayEvent.EntryRead(entryFor(read.node, number));
    }

    private Entry newestWhole() {
        Entry newest = null;
        for (Entry entry : published.headMap(head(), true).values()) {
            newest = entry.whole() ? entry : newest;
        }
        return newest;
    }

    /** Returns a wrong body once, to the reader {@code misledReader}. */
    private Entry entryFor(int node, long number) {
        Entry entry = published.get(number);
        if (node != misledReader || entry.whole()) {
            return entry;
        }
        misledReader = -1;
        String wrong = new String(entry.body(), StandardCharsets.UTF_8) + " wrong";
        return new Entry(number, false, wrong.getBytes(StandardCharsets.UTF_8));
    }
}
