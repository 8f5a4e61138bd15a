package org.dotterelcourse.coordination;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Simulates a network between state machines, with message loss, delay, reordering, duplication and blocked links, on a
 * simulated clock. Messages to a paused node are delivered when the pause ends, like those in the socket buffers of a
 * stopped process.
 *
 * @param <M> type of the messages
 */
public final class SimulatedNetwork<M> {

    /** Nanoseconds in a millisecond. */
    public static final long MILLISECOND = 1_000_000L;
    /** Nanoseconds in a second. */
    public static final long SECOND = 1_000 * MILLISECOND;

    private static final int FIRST_PORT = 1_000;

    private final Random random;
    private final PriorityQueue<InFlightMessage<M>> inFlightMessages = new PriorityQueue<>();
    private final Map<Integer, BiConsumer<Integer, M>> handlers = new HashMap<>();
    private final Map<Integer, Long> pausedUntil = new HashMap<>();
    private final Set<Long> blockedLinks = new HashSet<>();
    private long nowNanos;
    private long nextOrder;
    private double lossRate;
    private double duplicationRate;
    private long maxDelayNanos = 2 * MILLISECOND;

    /**
     * Creates a network without faults.
     *
     * @param seed seed of the random faults and delays
     */
    public SimulatedNetwork(long seed) {
        random = new Random(seed);
    }

    /**
     * Returns the address of a node.
     *
     * @param node the node's number
     * @return the node's address
     */
    public static InetSocketAddress address(int node) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + node);
    }

    /**
     * Returns the node at an address.
     *
     * @param address an address returned by {@link #address}
     * @return the node's number
     */
    public static int node(InetSocketAddress address) {
        return address.getPort() - FIRST_PORT;
    }

    /**
     * Returns the simulated time.
     *
     * @return nanoseconds since the start of the simulation
     */
    public long nowNanos() {
        return nowNanos;
    }

    /**
     * Sets the handler of a node's messages.
     *
     * @param node the node's number
     * @param handler called with the sender's number and the message
     */
    public void attach(int node, BiConsumer<Integer, M> handler) {
        handlers.put(node, handler);
    }

    /**
     * Removes the handler of a node; messages to the node are dropped from now on.
     *
     * @param node the node's number
     */
    public void detach(int node) {
        handlers.remove(node);
    }

    /**
     * Sets the fault rates and the delay of all links.
     *
     * @param newLossRate fraction of unreliable messages that are lost, from 0 to 1
     * @param newDuplicationRate fraction of unreliable messages that are delivered twice, from 0 to 1
     * @param newMaxDelayNanos maximum delay of all messages, in nanoseconds
     */
    public void setFaults(double newLossRate, double newDuplicationRate, long newMaxDelayNanos) {
        lossRate = newLossRate;
        duplicationRate = newDuplicationRate;
        maxDelayNanos = newMaxDelayNanos;
    }

    /**
     * Blocks one direction of the link between two nodes.
     *
     * @param from the sender's number
     * @param to the receiver's number
     */
    public void blockLink(int from, int to) {
        blockedLinks.add(linkKey(from, to));
    }

    /**
     * Unblocks all links and removes all faults.
     */
    public void clearFaults() {
        blockedLinks.clear();
        setFaults(0, 0, 2 * MILLISECOND);
    }

    /**
     * Pauses a node: its messages are delivered when the pause ends.
     *
     * @param node the node's number
     * @param nanos duration of the pause in nanoseconds
     */
    public void pause(int node, long nanos) {
        pausedUntil.put(node, nowNanos + nanos);
    }

    /**
     * Returns whether a node is paused.
     *
     * @param node the node's number
     * @return whether its pause has not ended
     */
    public boolean isPaused(int node) {
        return pausedUntil.getOrDefault(node, 0L) > nowNanos;
    }

    /**
     * Sends a message. A reliable message is lost only if the link is blocked in either direction.
     *
     * @param from the sender's number
     * @param to the receiver's number
     * @param message the message
     * @param reliable whether the message is sent on a stream and not as a datagram
     */
    public void send(int from, int to, M message, boolean reliable) {
        if (blockedLinks.contains(linkKey(from, to)) || reliable && blockedLinks.contains(linkKey(to, from))) {
            return;
        }
        if (!reliable && random.nextDouble() < lossRate) {
            return;
        }
        enqueue(from, to, message);
        if (!reliable && random.nextDouble() < duplicationRate) {
            enqueue(from, to, message);
        }
    }

    /**
     * Advances the simulated clock and delivers the messages that become due.
     *
     * @param untilNanos the new time, in nanoseconds since the start of the simulation
     */
    public void advanceTo(long untilNanos) {
        while (!inFlightMessages.isEmpty() && inFlightMessages.peek().dueNanos <= untilNanos) {
            InFlightMessage<M> inFlight = inFlightMessages.poll();
            nowNanos = Math.max(nowNanos, inFlight.dueNanos);
            deliver(inFlight);
        }
        nowNanos = untilNanos;
    }

    private void deliver(InFlightMessage<M> inFlight) {
        if (isPaused(inFlight.to)) {
            inFlightMessages.add(new InFlightMessage<>(
                    inFlight.from, inFlight.to, inFlight.message, pausedUntil.get(inFlight.to), nextOrder++));
            return;
        }
        BiConsumer<Integer, M> handler = handlers.get(inFlight.to);
        if (handler != null) {
            handler.accept(inFlight.from, inFlight.message);
        }
    }

    private void enqueue(int from, int to, M message) {
        long due = nowNanos + 1 + (long) (random.nextDouble() * maxDelayNanos);
        inFlightMessages.add(new InFlightMessage<>(from, to, message, due, nextOrder++));
    }

    private static long linkKey(int from, int to) {
        return ((long) from << Integer.SIZE) | to;
    }

    private record InFlightMessage<M>(int from, int to, M message, long dueNanos, long order)
            implements Comparable<InFlightMessage<M>> {
        @Override
        public int compareTo(InFlightMessage<M> other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
