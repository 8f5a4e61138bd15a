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

/** Runs all measurements on a fleet of nodes in one process. */
final class MeasuredFleet {

    private static final int MAX_SEEDS = 3;
    private static final long AWAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(120);
    private static final long POLL_MILLIS = 2;
    private static final long SETTLE_MILLIS = 8_000;
    /** The gossip about all joins ends after a time that grows with the number of nodes. */
    private static final long SETTLE_MILLIS_PER_NODE = 300;

    private static final int STEADY_PUBLICATIONS = 4;
    private static final long PUBLICATION_PERIOD_MILLIS = 5_400;
    private static final int TIMED_PUBLICATIONS = 5;
    private static final long PUBLICATION_PAUSE_MILLIS = 1_500;
    private static final int FAULT_ROUNDS = 10;
    private static final long FAULT_ROUND_MILLIS = 2_000;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final double DATAGRAM_LOSS = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    private final StubConfigurationService service = new StubConfigurationService();
    private final List<MeasuredNode> nodes = new ArrayList<>();
    private final Map<String, Long> pausedUntilNanos = new ConcurrentHashMap<>();
    private final Random random = new Random(1);

    /**
     * Results for one fleet size. Traffic and CPU time are measured in steady state with a configuration change every
     * 5.4 s.
     *
     * @param size number of nodes
     * @param joinSeconds seconds from the start of all nodes until each sees all others as alive and has a
     *     configuration
     * @param sentBytesPerSecond bytes per second that a node sends
     * @param receivedBytesPerSecond bytes per second that a node receives
     * @param messagesPerSecond messages per second that a node sends and receives
     * @param threadCores CPU time of a node's thread as a fraction of one core
     * @param processCores CPU time of the whole process per node as a fraction of one core, JIT compiler and garbage
     *     collector included
     * @param heapBytes heap usage per node
     * @param firstSuspectSeconds seconds from the abrupt stop of a node until the first node suspects it
     * @param lastSuspectSeconds seconds from the stop until the last node suspects it
     * @param lastDeadSeconds seconds from the stop until the last node declares it dead
     * @param suspicionsOfPaused number of suspicions of nodes paused for 1.5 s, summed over all views, with ten pauses
     *     and 5% datagram loss
     * @param suspicionsOfRunning number of suspicions of other nodes in the same period
     * @param falseDeclarations number of running nodes declared dead under loss and pauses, summed over all views
     * @param propagationMillis maximum time in milliseconds until a configuration change was in force at all nodes
     */
    record Result(
            int size,
            double joinSeconds,
            double sentBytesPerSecond,
            double receivedBytesPerSecond,
            double messagesPerSecond,
            double threadCores,
            double processCores,
            double heapBytes,
            double firstSuspectSeconds,
            double lastSuspectSeconds,
            double lastDeadSeconds,
            long suspicionsOfPaused,
            long suspicionsOfRunning,
            long falseDeclarations,
            double propagationMillis) {}

    private record Traffic(
            double sentBytesPerSecond,
            double receivedBytesPerSecond,
            double messagesPerSecond,
            double threadCores,
            double processCores) {}

    private record Detection(double firstSuspectSeconds, double lastSuspectSeconds, double lastDeadSeconds) {}

    static Result measure(int size) throws InterruptedException {
        MeasuredFleet fleet = new MeasuredFleet();
        try {
            return fleet.run(size);
        } finally {
            fleet.nodes.forEach(MeasuredNode::stop);
        }
    }

    private Result run(int size) throws InterruptedException {
        long heapBefore = usedHeapBytes();
        double joinSeconds = startNodes(size);
        Thread.sleep(SETTLE_MILLIS + size * SETTLE_MILLIS_PER_NODE);
        Traffic traffic = measureSteadyState();
        double heapBytes = (double) (usedHeapBytes() - heapBefore) / size;
        double propagationMillis = measurePropagation();
        long pausedBefore = sum(MeasuredNode::suspicionsOfPaused);
        long runningBefore = sum(MeasuredNode::suspicionsOfRunning);
        long declarationsBefore = deadDeclarations();
        injectFaults();
        long suspicionsOfPaused = sum(MeasuredNode::suspicionsOfPaused) - pausedBefore;
        long suspicionsOfRunning = sum(MeasuredNode::suspicionsOfRunning) - runningBefore;
        long falseDeclarations = deadDeclarations() - declarationsBefore;
        await(() -> nodes.stream().allMatch(node -> node.aliveCount() == size - 1));
        Detection detection = measureDetection();
        return new Result(
                size,
                joinSeconds,
                traffic.sentBytesPerSecond,
                traffic.receivedBytesPerSecond,
                traffic.messagesPerSecond,
                traffic.threadCores,
                traffic.processCores,
                heapBytes,
                detection.firstSuspectSeconds,
                detection.lastSuspectSeconds,
                detection.lastDeadSeconds,
                suspicionsOfPaused,
                suspicionsOfRunning,
                falseDeclarations,
                propagationMillis);
    }

    private double startNodes(int size) throws InterruptedException {
        for (int i = 0; i < size; i++) {
            nodes.add(new MeasuredNode(i, service, pausedUntilNanos));
        }
        List<ListedVm> seeds = new ArrayList<>();
        for (MeasuredNode node : nodes.subList(0, Math.min(MAX_SEEDS, size))) {
            seeds.add(node.listedVm());
        }
        long before = System.nanoTime();
        for (MeasuredNode node : nodes) {
            List<ListedVm> others = new ArrayList<>(seeds);
            others.remove(node.listedVm());
            node.start(others);
        }
        await(() -> nodes.stream().allMatch(node -> node.aliveCount() == size - 1 && node.configurationNumber() > 0));
        return secondsSince(before);
    }

    private Traffic measureSteadyState() throws InterruptedException {
        long[] before = trafficTotals();
        long start = System.nanoTime();
        long processBefore = processCpuNanos();
        long threadsBefore = sum(MeasuredNode::threadCpuNanos);
        for (int i = 0; i < STEADY_PUBLICATIONS; i++) {
            service.publish();
            Thread.sleep(PUBLICATION_PERIOD_MILLIS);
        }
        double perNode = secondsSince(start) * nodes.size();
        long[] after = trafficTotals();
        double threadCores = (sum(MeasuredNode::threadCpuNanos) - threadsBefore) / NANOS_PER_SECOND / perNode;
        double processCores = (processCpuNanos() - processBefore) / NANOS_PER_SECOND / perNode;
        return new Traffic(
                (after[0] - before[0]) / perNode,
                (after[1] - before[1]) / perNode,
                (after[2] - before[2]) / perNode,
                threadCores,
                processCores);
    }

    private double measurePropagation() throws InterruptedException {
        double longest = 0;
        for (int i = 0; i < TIMED_PUBLICATIONS; i++) {
            long before = System.nanoTime();
            long number = service.publish();
            await(() -> nodes.stream().allMatch(node -> node.configurationNumber() >= number));
            longest = Math.max(longest, (System.nanoTime() - before) / NANOS_PER_MILLI);
            Thread.sleep(PUBLICATION_PAUSE_MILLIS);
        }
        return longest;
    }

    /**
     * Drops datagrams at every node and pauses one node at a time. Each pause is shorter than the time in which a node
     * can refute a suspicion.
     */
    private void injectFaults() throws InterruptedException {
        nodes.forEach(node -> node.setDatagramLoss(DATAGRAM_LOSS));
        for (int i = 0; i < FAULT_ROUNDS; i++) {
            nodes.get(random.nextInt(nodes.size())).pause(PAUSE_NANOS);
            Thread.sleep(FAULT_ROUND_MILLIS);
        }
        nodes.forEach(node -> node.setDatagramLoss(0));
    }

    private Detection measureDetection() throws InterruptedException {
        MeasuredNode stopped = nodes.remove(nodes.size() - 1);
        long before = System.nanoTime();
        stopped.stop();
        await(() -> nodes.stream().allMatch(node -> secondsBetween(node.deadNanos(stopped.name()), before) > 0));
        double first = Double.MAX_VALUE;
        double last = 0;
        double dead = 0;
        for (MeasuredNode node : nodes) {
            double suspected = secondsBetween(node.suspectedNanos(stopped.name()), before);
            first = Math.min(first, suspected);
            last = Math.max(last, suspected);
            dead = Math.max(dead, secondsBetween(node.deadNanos(stopped.name()), before));
        }
        return new Detection(first, last, dead);
    }

    private long sum(ToLongFunction<MeasuredNode> value) {
        return nodes.stream().mapToLong(value).sum();
    }

    private long deadDeclarations() {
        return sum(MeasuredNode::deadCount);
    }

    private long[] trafficTotals() {
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

    private static double secondsBetween(Long nanos, long startNanos) {
        return nanos == null ? -1 : (nanos - startNanos) / NANOS_PER_SECOND;
    }

    private static double secondsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    private static long processCpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("condition not met within 120 s");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }
}
