package org.dotterelcourse.coordination.measure;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;

import com.sun.management.OperatingSystemMXBean;
import org.dotterelcourse.coordination.membership.ListedVm;
import org.dotterelcourse.coordination.transport.ChannelCount;

/** Many nodes in one process, and one run of all measurements on them. */
final class MeasuredFleet {

    private static final int SEEDS = 3;
    private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(120);
    private static final long POLL_MILLIS = 2;
    private static final long SETTLE_MILLIS = 8_000;
    /** News of all joins has died out after a time that grows with their number. */
    private static final long SETTLE_MILLIS_A_NODE = 300;

    private static final int STEADY_CHANGES = 4;
    private static final long CHANGE_PERIOD_MILLIS = 5_400;
    private static final int TIMED_CHANGES = 5;
    private static final long CHANGE_PAUSE_MILLIS = 1_500;
    private static final int DISTURBED_ROUNDS = 10;
    private static final long DISTURBED_ROUND_MILLIS = 2_000;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final double LOSS = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    private final MeasuredService service = new MeasuredService();
    private final List<MeasuredNode> nodes = new ArrayList<>();
    private final Map<String, Long> pausedUntil = new ConcurrentHashMap<>();
    private final Random random = new Random(1);

    /**
     * Results of one size.
     *
     * @param size number of nodes
     * @param joinSeconds from the start of all until each sees all
     * @param sentBytes bytes a node sends a second, in a quiet fleet with a change of configuration every 5.4 s
     * @param receivedBytes bytes a node receives a second
     * @param messages messages a node sends and receives a second
     * @param core share of a core that a node's thread uses
     * @param processCore share of a core that the whole process uses for a node, compiler and collector included
     * @param heapBytes heap of a node
     * @param suspectFirst seconds from an abrupt stop until a first node suspects it
     * @param suspectLast seconds until the last node does
     * @param deadLast seconds until the last node takes it for dead
     * @param ofPaused suspicions of nodes paused for 1.5 s, over all views, ten pauses and 5% loss
     * @param ofRunning suspicions of other nodes in the same time
     * @param falseDeaths running nodes declared dead, over all views, under loss and pauses
     * @param changeMillis longest time until a change was in force everywhere
     */
    record Result(
            int size,
            double joinSeconds,
            double sentBytes,
            double receivedBytes,
            double messages,
            double core,
            double processCore,
            double heapBytes,
            double suspectFirst,
            double suspectLast,
            double deadLast,
            long ofPaused,
            long ofRunning,
            long falseDeaths,
            double changeMillis) {}

    private record Traffic(double sent, double received, double messages, double core, double processCore) {}

    private record Detection(double suspectFirst, double suspectLast, double deadLast) {}

    static Result measure(int size) throws InterruptedException {
        MeasuredFleet fleet = new MeasuredFleet();
        try {
            return fleet.run(size);
        } finally {
            fleet.nodes.forEach(MeasuredNode::stop);
        }
    }

    private Result run(int size) throws InterruptedException {
        long heapBefore = heap();
        double join = start(size);
        Thread.sleep(SETTLE_MILLIS + size * SETTLE_MILLIS_A_NODE);
        Traffic traffic = steady();
        double heap = (double) (heap() - heapBefore) / size;
        double change = changes();
        long pausedBefore = sum(MeasuredNode::suspicionsOfPaused);
        long runningBefore = sum(MeasuredNode::suspicionsOfRunning);
        long deathsBefore = deaths();
        disturb();
        long ofPaused = sum(MeasuredNode::suspicionsOfPaused) - pausedBefore;
        long ofRunning = sum(MeasuredNode::suspicionsOfRunning) - runningBefore;
        long falseDeaths = deaths() - deathsBefore;
        await(() -> nodes.stream().allMatch(node -> node.alive() == size - 1));
        Detection detection = detect();
        return new Result(
                size,
                join,
                traffic.sent,
                traffic.received,
                traffic.messages,
                traffic.core,
                traffic.processCore,
                heap,
                detection.suspectFirst,
                detection.suspectLast,
                detection.deadLast,
                ofPaused,
                ofRunning,
                falseDeaths,
                change);
    }

    private double start(int size) throws InterruptedException {
        for (int i = 0; i < size; i++) {
            nodes.add(new MeasuredNode(i, service, pausedUntil));
        }
        List<ListedVm> seeds = new ArrayList<>();
        for (MeasuredNode node : nodes.subList(0, Math.min(SEEDS, size))) {
            seeds.add(node.listed());
        }
        long before = System.nanoTime();
        for (MeasuredNode node : nodes) {
            List<ListedVm> others = new ArrayList<>(seeds);
            others.remove(node.listed());
            node.start(others);
        }
        await(() -> nodes.stream().allMatch(node -> node.alive() == size - 1 && node.number() > 0));
        return secondsSince(before);
    }

    private Traffic steady() throws InterruptedException {
        long[] before = traffic();
        long start = System.nanoTime();
        long process = processNanos();
        long threads = sum(MeasuredNode::processorNanos);
        for (int i = 0; i < STEADY_CHANGES; i++) {
            service.publish();
            Thread.sleep(CHANGE_PERIOD_MILLIS);
        }
        double perNode = secondsSince(start) * nodes.size();
        long[] after = traffic();
        double core = (sum(MeasuredNode::processorNanos) - threads) / NANOS_PER_SECOND / perNode;
        double processCore = (processNanos() - process) / NANOS_PER_SECOND / perNode;
        return new Traffic(
                (after[0] - before[0]) / perNode,
                (after[1] - before[1]) / perNode,
                (after[2] - before[2]) / perNode,
                core,
                processCore);
    }

    private double changes() throws InterruptedException {
        double longest = 0;
        for (int i = 0; i < TIMED_CHANGES; i++) {
            long before = System.nanoTime();
            long number = service.publish();
            await(() -> nodes.stream().allMatch(node -> node.number() >= number));
            longest = Math.max(longest, (System.nanoTime() - before) / NANOS_PER_MILLI);
            Thread.sleep(CHANGE_PAUSE_MILLIS);
        }
        return longest;
    }

    /** Loss at every node, and one paused node at a time; each pause is shorter than the time to refute. */
    private void disturb() throws InterruptedException {
        nodes.forEach(node -> node.lose(LOSS));
        for (int i = 0; i < DISTURBED_ROUNDS; i++) {
            nodes.get(random.nextInt(nodes.size())).pause(PAUSE_NANOS);
            Thread.sleep(DISTURBED_ROUND_MILLIS);
        }
        nodes.forEach(node -> node.lose(0));
    }

    private Detection detect() throws InterruptedException {
        MeasuredNode lost = nodes.remove(nodes.size() - 1);
        long before = System.nanoTime();
        lost.stop();
        await(() -> nodes.stream().allMatch(node -> since(node.dead(lost.name()), before) > 0));
        double first = Double.MAX_VALUE;
        double last = 0;
        double dead = 0;
        for (MeasuredNode node : nodes) {
            double suspected = since(node.suspected(lost.name()), before);
            first = Math.min(first, suspected);
            last = Math.max(last, suspected);
            dead = Math.max(dead, since(node.dead(lost.name()), before));
        }
        return new Detection(first, last, dead);
    }

    private long sum(ToLongFunction<MeasuredNode> value) {
        return nodes.stream().mapToLong(value).sum();
    }

    private long deaths() {
        return sum(MeasuredNode::deaths);
    }

    private long[] traffic() {
        long[] sum = new long[3];
        for (MeasuredNode node : nodes) {
            for (ChannelCount count : node.counts().values()) {
                sum[0] += count.sentBytes();
                sum[1] += count.receivedBytes();
                sum[2] += count.sentMessages() + count.receivedMessages();
            }
        }
        return sum;
    }

    private static double since(Long nanos, long before) {
        return nanos == null ? -1 : (nanos - before) / NANOS_PER_SECOND;
    }

    private static double secondsSince(long before) {
        return (System.nanoTime() - before) / NANOS_PER_SECOND;
    }

    private static long processNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static long heap() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + BOUND_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("condition not met within the bound");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }
}
