package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/** Carries bytes between members with random loss, duplication, delay (hence reorder) and partition. */
public final class LossyNetwork {
    private final RandomGenerator random;
    private final PriorityQueue<Packet> packets = new PriorityQueue<>();
    private final Map<String, Integer> sides = new HashMap<>();
    private double loss;
    private double duplication;
    private long maxDelayNanos = 1_000_000;
    private long sent;

    /**
     * Makes a wire that loses nothing.
     *
     * @param random decides about each packet
     */
    public LossyNetwork(RandomGenerator random) {
        this.random = random;
    }

    /**
     * A packet under way.
     *
     * @param order breaks ties
     * @param dueNanos when it arrives
     * @param from the sender
     * @param to the receiver
     * @param body the message
     */
    public record Packet(long order, long dueNanos, String from, String to, byte[] body) implements Comparable<Packet> {
        @Override
        public int compareTo(Packet other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /**
     * Sets the faults.
     *
     * @param lossShare the share of packets lost
     * @param duplicationShare the share that arrives twice
     * @param delayNanos the longest delay
     */
    public void faults(double lossShare, double duplicationShare, long delayNanos) {
        loss = lossShare;
        duplication = duplicationShare;
        maxDelayNanos = delayNanos;
    }

    /**
     * Puts a member on a side; sides hear nothing of each other.
     *
     * @param member the member
     * @param side its side, 0 at first
     */
    public void assignPartition(String member, int side) {
        sides.put(member, side);
    }

    /**
     * The side that a member is on.
     *
     * @param member the member
     * @return its side
     */
    public int partitionOf(String member) {
        return sides.getOrDefault(member, 0);
    }

    /**
     * Sends a packet; one to oneself is neither lost nor delayed.
     *
     * @param from the sender
     * @param to the receiver
     * @param body the message
     * @param nowNanos the time
     */
    public void send(String from, String to, byte[] body, long nowNanos) {
        sent++;
        if (from.equals(to)) {
            packets.add(new Packet(sent, nowNanos, from, to, body));
            return;
        }
        int copies = random.nextDouble() < duplication ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextDouble() >= loss) {
                long delay = 1 + random.nextLong(maxDelayNanos);
                packets.add(new Packet(sent, nowNanos + delay, from, to, body));
            }
        }
    }

    /**
     * Takes what has arrived.
     *
     * @param nowNanos the time
     * @return the packets, in order of arrival
     */
    public List<Packet> arrived(long nowNanos) {
        List<Packet> due = new ArrayList<>();
        while (!packets.isEmpty() && packets.peek().dueNanos() <= nowNanos) {
            Packet packet = packets.poll();
            if (partitionOf(packet.from()) == partitionOf(packet.to())) {
                due.add(packet);
            }
        }
        return due;
    }
}
