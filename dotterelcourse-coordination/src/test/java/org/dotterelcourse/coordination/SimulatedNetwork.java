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
 * Carries messages between state machines in memory, with loss, delay, reordering, duplication and cuts, on a clock of
 * its own. A paused node's messages wait, as they do in the buffers of a stopped process.
 *
 * @param <M> the messages
 */
public final class SimulatedNetwork<M> {

    /** Nanoseconds in a millisecond. */
    public static final long MILLISECOND = 1_000_000L;
    /** Nanoseconds in a second. */
    public static final long SECOND = 1_000 * MILLISECOND;

    private static final int FIRST_PORT = 1_000;

    private final Random random;
    private final PriorityQueue<Flight<M>> flights = new PriorityQueue<>();
    private final Map<Integer, BiConsumer<Integer, M>> handlers = new HashMap<>();
    private final Map<Integer, Long> pausedUntil = new HashMap<>();
    private final Set<Long> cuts = new HashSet<>();
    private long nowNanos;
    private long order;
    private double loss;
    private double duplication;
    private long maxDelayNanos = 2 * MILLISECOND;

    /**
     * A wire without disturbance.
     *
     * @param seed of its randomness
     */
    public SimulatedNetwork(long seed) {
        random = new Random(seed);
    }

    /**
     * The address of a node.
     *
     * @param node its number
     * @return its address
     */
    public static InetSocketAddress address(int node) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + node);
    }

    /**
     * The node at an address.
     *
     * @param address the address
     * @return its number
     */
    public static int node(InetSocketAddress address) {
        return address.getPort() - FIRST_PORT;
    }

    /**
     * The time.
     *
     * @return nanoseconds since the start
     */
    public long nowNanos() {
        return nowNanos;
    }

    /**
     * Sets who takes a node's messages.
     *
     * @param node the node
     * @param handler takes the sender and the message
     */
    public void attach(int node, BiConsumer<Integer, M> handler) {
        handlers.put(node, handler);
    }

    /**
     * Loses a node's messages from now on.
     *
     * @param node the node
     */
    public void detach(int node) {
        handlers.remove(node);
    }

    /**
     * Sets the disturbance of all messages.
     *
     * @param lossRate share of datagrams that are lost
     * @param duplicationRate share of datagrams that come twice
     * @param delayNanos longest delay
     */
    public void setFaults(double lossRate, double duplicationRate, long delayNanos) {
        loss = lossRate;
        duplication = duplicationRate;
        maxDelayNanos = delayNanos;
    }

    /**
     * Cuts one direction between two nodes.
     *
     * @param from the sender
     * @param to the receiver
     */
    public void blockLink(int from, int to) {
        cuts.add(pair(from, to));
    }

    /**
     * Ends all cuts and disturbance.
     */
    public void clearFaults() {
        cuts.clear();
        setFaults(0, 0, 2 * MILLISECOND);
    }

    /**
     * Holds a node's messages back for a while.
     *
     * @param node the node
     * @param nanos how long
     */
    public void pause(int node, long nanos) {
        pausedUntil.put(node, nowNanos + nanos);
    }

    /**
     * Whether a node is paused.
     *
     * @param node the node
     * @return whether it is
     */
    public boolean isPaused(int node) {
        return pausedUntil.getOrDefault(node, 0L) > nowNanos;
    }

    /**
     * Sends. A reliable message is lost only by a cut, in either direction.
     *
     * @param from the sender
     * @param to the receiver
     * @param message the message
     * @param reliable whether it is sent on a stream
     */
    public void send(int from, int to, M message, boolean reliable) {
        if (cuts.contains(pair(from, to)) || reliable && cuts.contains(pair(to, from))) {
            return;
        }
        if (!reliable && random.nextDouble() < loss) {
            return;
        }
        enqueue(from, to, message);
        if (!reliable && random.nextDouble() < duplication) {
            enqueue(from, to, message);
        }
    }

    /**
     * Moves the clock, delivering what falls due.
     *
     * @param untilNanos the new time
     */
    public void advanceTo(long untilNanos) {
        while (!flights.isEmpty() && flights.peek().dueNanos <= untilNanos) {
            Flight<M> flight = flights.poll();
            nowNanos = Math.max(nowNanos, flight.dueNanos);
            deliver(flight);
        }
        nowNanos = untilNanos;
    }

    private void deliver(Flight<M> flight) {
        if (isPaused(flight.to)) {
            flights.add(new Flight<>(flight.from, flight.to, flight.message, pausedUntil.get(flight.to), order++));
            return;
        }
        BiConsumer<Integer, M> handler = handlers.get(flight.to);
        if (handler != null) {
            handler.accept(flight.from, flight.message);
        }
    }

    private void enqueue(int from, int to, M message) {
        long due = nowNanos + 1 + (long) (random.nextDouble() * maxDelayNanos);
        flights.add(new Flight<>(from, to, message, due, order++));
    }

    private static long pair(int from, int to) {
        return ((long) from << Integer.SIZE) | to;
    }

    private record Flight<M>(int from, int to, M message, long dueNanos, long order) implements Comparable<Flight<M>> {
        @Override
        public int compareTo(Flight<M> other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
