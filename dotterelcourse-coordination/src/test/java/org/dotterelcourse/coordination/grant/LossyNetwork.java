package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Simulated network that delivers packets between members with random loss, duplication, delay (and therefore
 * reordering) and partitions.
 */
public final class LossyNetwork {
    private final RandomGenerator random;
    private final PriorityQueue<Packet> packets = new PriorityQueue<>();
    private final Map<String, Integer> partitions = new HashMap<>();
    private double loss;
    private double duplication;
    private long maxDelayNanos = 1_000_000;
    private long sent;

    /**
     * Creates a network without loss or duplication, and with delays up to 1 ms.
     *
     * @param random source of randomness of the faults
     */
    public LossyNetwork(RandomGenerator random) {
        this.random = random;
    }

    /**
     * A packet in flight.
     *
     * @param order sequence number of the send, orders packets that arrive at the same time
     * @param dueNanos simulated time of arrival in nanoseconds
     * @param from name of the sender
     * @param to name of the receiver
     * @param body the encoded message
     */
    public record Packet(long order, long dueNanos, String from, String to, byte[] body) implements Comparable<Packet> {
        @Override
        public int compareTo(Packet other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /**
     * Sets the fault rates for packets sent from now on.
     *
     * @param lossShare probability that a packet is lost, from 0 to 1
     * @param duplicationShare probability that a packet is sent twice, from 0 to 1
     * @param delayNanos maximum delay in nanoseconds
     */
    public void setFaults(double lossShare, double duplicationShare, long delayNanos) {
        loss = lossShare;
        duplication = duplicationShare;
        maxDelayNanos = delayNanos;
    }

    /**
     * Assigns a member to a partition. Packets between different partitions are dropped on arrival.
     *
     * @param member name of the member
     * @param partition number of the partition; 0 by default
     */
    public void assignPartition(String member, int partition) {
        partitions.put(member, partition);
    }

    /**
     * Partition of a member.
     *
     * @param member name of the member
     * @return number of the partition
     */
    public int partitionOf(String member) {
        return partitions.getOrDefault(member, 0);
    }

    /**
     * Sends a packet. A packet to the sender itself is neither lost nor delayed.
     *
     * @param from name of the sender
     * @param to name of the receiver
     * @param body the encoded message
     * @param nowNanos current simulated time in nanoseconds
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
     * Removes and returns the packets that have arrived.
     *
     * @param nowNanos current simulated time in nanoseconds
     * @return the packets in order of arrival, without those between different partitions
     */
    public List<Packet> pollArrived(long nowNanos) {
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
