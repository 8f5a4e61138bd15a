package org.dotterelcourse.policy.selection;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * Partitions the engines of one upstream between the latency classes, in proportion to the work that all processes have
 * recently received for each class (exponentially decaying sums) and to the capacities of the engines.
 *
 * <p>It handles a mix of traffic that changes during the day. With fixed partitions, one would be idle while requests queue
 * for another; without partitions, each long prompt would delay interactive streams.
 */
public final class EnginePartition {
    /**
     * Half-life of the recorded work: short enough to follow the hours of a day, and longer than a burst, which would
     * otherwise shift the partition back and forth.
     */
    private static final double HALF_LIFE_NANOS = 30e9;

    /**
     * Work of one answer token, in addition to the work of the prompt. A step of 5 to 10 ms makes one token for each of
     * about 20 to 40 streams (data sheets). Higher values reserve engines for short answers that hardly use them; lower
     * values cause long gaps between the events of these answers.
     */
    private static final double OUTPUT_TOKEN_MILLIS = 0.25;

    /**
     * Weight of the work of each latency class. First events that are due within a second need engines that are idle half
     * of the time.
     */
    private static final Map<LatencyClass, Double> WORK_WEIGHT = Map.of(
            LatencyClass.GAP_SENSITIVE, 1.0, LatencyClass.START_SENSITIVE, 1.6, LatencyClass.DELAY_TOLERANT, 1.0);

    /** Work assumed before the first request, by the ordinal of the latency class; later requests soon outweigh it. */
    private static final double[] INITIAL_WORK_MILLIS = {220, 280, 500};

    /**
     * Difference between the target and the current number of engines of a class above which the partition changes. Each
     * change gives prompt parts other preferred engines, where they have to be read again.
     */
    private static final double CHANGE_THRESHOLD_ENGINES = 1.2;

    /** Share of the total work below which a latency class gets no engine of its own. */
    private static final double MIN_SHARE = 0.02;

    /** Time after its last report for which the work of a peer is counted. */
    private static final long PEER_EXPIRY_NANOS = 10_000_000_000L;

    /**
     * Largest plausible work of one class in a report: four times the work of 4,200 engines in a mean lifetime of the
     * recorded work (43 s), with the highest weight.
     */
    private static final double MAX_PEER_WORK_MILLIS = 1.2e9;

    private final Map<String, PeerWork> peers = new HashMap<>();
    private LatencyClassWork localWork = new LatencyClassWork(INITIAL_WORK_MILLIS.clone());
    private boolean started;
    private long lastArrivalNanos;
    private int[] engineCounts = new int[0];
    private int lastWorkers;

    private record PeerWork(boolean individual, LatencyClassWork work, long receivedNanos) {}

    /**
     * Work that this process itself has recently received, to be reported to its peers.
     *
     * @return the work, decayed to the time of the last request
     */
    public LatencyClassWork localWork() {
        return localWork;
    }

    /**
     * Records the work that a peer has reported. Processes with the same sums mostly agree on the partition. A report with
     * a value that is negative, not a number or implausibly large is ignored, as it would assign all engines to one class.
     *
     * @param peer name of the peer
     * @param individual true if the report covers the peer's own work only, false if it is a sum over several processes
     * @param work the reported work
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordPeerWork(String peer, boolean individual, LatencyClassWork work, long nowNanos) {
        if (Arrays.stream(work.millis()).allMatch(each -> each >= 0 && each <= MAX_PEER_WORK_MILLIS)) {
            peers.put(peer, new PeerWork(individual, work, nowNanos));
        }
    }

    /**
     * Work that this process and the processes that report to it have recently received.
     *
     * @return the sum of the local work and the individual reports
     */
    public LatencyClassWork reportersWork() {
        LatencyClassWork sum = localWork;
        for (PeerWork peer : peers.values()) {
            sum = peer.individual() ? sum.plus(peer.work()) : sum;
        }
        return sum;
    }

    /**
     * Work that all processes except one peer have recently received.
     *
     * @param peer name of the peer to exclude
     * @return the sum of the local work and the reports of the other peers
     */
    public LatencyClassWork workExcluding(String peer) {
        LatencyClassWork sum = localWork;
        for (Map.Entry<String, PeerWork> entry : peers.entrySet()) {
            sum = entry.getKey().equals(peer) ? sum : sum.plus(entry.getValue().work());
        }
        return sum;
    }

    /**
     * Records the arrival of a request at this process.
     *
     * @param prompt prompt of the request
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordArrival(Prompt prompt, long nowNanos) {
        double decay = started ? Math.pow(0.5, Math.max(0, nowNanos - lastArrivalNanos) / HALF_LIFE_NANOS) : 1;
        started = true;
        lastArrivalNanos = nowNanos;
        double work = prompt.prefillMillis(0) + OUTPUT_TOKEN_MILLIS * prompt.outputTokens();
        localWork = localWork
                .decayed(decay)
                .withAdded(prompt.latencyClass(), WORK_WEIGHT.get(prompt.latencyClass()) * work);
    }

    /**
     * Ranks of the engines that serve one latency class. A class without engines of its own may use all engines. One engine
     * is shared by all classes; of two engines, the first serves {@link LatencyClass#GAP_SENSITIVE} streams and the second
     * all others.
     *
     * @param latencyClass the latency class
     * @param workers number of engines of the upstream
     * @return range of ranks
     */
    public Range range(LatencyClass latencyClass, int workers) {
        return range(latencyClass, workers, rank -> 1);
    }

    /**
     * Ranks of the engines that serve one latency class, as {@link #range(LatencyClass, int)} does for engines of equal
     * speed. Each class gets engines whose capacities add up to its share of the work.
     *
     * @param latencyClass the latency class
     * @param workers number of engines of the upstream
     * @param capacity capacity of the engine of a rank relative to an engine of nominal speed
     * @return range of ranks
     */
    public Range range(LatencyClass latencyClass, int workers, IntToDoubleFunction capacity) {
        int classes = LatencyClass.values().length;
        if (workers < classes) {
            boolean twoEngines = workers == 2;
            boolean first = latencyClass == LatencyClass.GAP_SENSITIVE;
            return twoEngines ? new Range(first ? 0 : 1, first ? 1 : 2) : new Range(0, workers);
        }
        updateCounts(workers, capacity);
        int from = 0;
        for (int i = 0; i < latencyClass.ordinal(); i++) {
            from += engineCounts[i];
        }
        int count = engineCounts[latencyClass.ordinal()];
        return count == 0 ? new Range(0, workers) : new Range(from, from + count);
    }

    /**
     * Range of engine ranks.
     *
     * @param from first rank
     * @param to rank after the last one
     */
    public record Range(int from, int to) {
        boolean contains(int rank) {
            return rank >= from && rank < to;
        }
    }

    private void updateCounts(int workers, IntToDoubleFunction capacity) {
        double[] targets = targetCounts(workers);
        boolean changed = workers != lastWorkers;
        if (!changed) {
            double[] current = currentCapacities(workers, capacity);
            for (int i = 0; !changed && i < targets.length; i++) {
                changed = Math.abs(targets[i] - current[i]) > CHANGE_THRESHOLD_ENGINES;
            }
        }
        if (changed) {
            engineCounts = counts(targets, workers, capacity);
            lastWorkers = workers;
        }
    }

    /** Capacities of the current ranges, in engines of mean capacity. */
    private double[] currentCapacities(int workers, IntToDoubleFunction capacity) {
        double[] sums = new double[engineCounts.length];
        double total = 0;
        int rank = 0;
        for (int i = 0; i < engineCounts.length; i++) {
            for (int end = rank + engineCounts[i]; rank < end; rank++) {
                sums[i] += capacity.applyAsDouble(rank);
            }
            total += sums[i];
        }
        double scale = workers / total;
        return Arrays.stream(sums).map(each -> each * scale).toArray();
    }

    private static int[] counts(double[] targets, int workers, IntToDoubleFunction capacity) {
        double total = 0;
        boolean equal = true;
        for (int rank = 0; rank < workers; rank++) {
            total += capacity.applyAsDouble(rank);
            equal &= capacity.applyAsDouble(rank) == capacity.applyAsDouble(0);
        }
        return equal ? rounded(targets, workers) : byCapacity(targets, workers, capacity, total);
    }

    /**
     * Assigns engines in the order of ranks, each to the class whose part of the total capacity contains the middle of the
     * engine's. Each class with a target above zero gets at least one engine.
     */
    private static int[] byCapacity(double[] targets, int workers, IntToDoubleFunction capacity, double total) {
        double targetSum = Arrays.stream(targets).sum();
        int[] counts = new int[targets.length];
        int classesLeft = (int) Arrays.stream(targets).filter(each -> each > 0).count();
        int rank = 0;
        double assigned = 0;
        double end = 0;
        for (int i = 0; i < targets.length; i++) {
            if (targets[i] == 0) {
                continue;
            }
            classesLeft--;
            end += total * targets[i] / targetSum;
            int lastRank = workers - classesLeft;
            while (rank < lastRank
                    && (counts[i] == 0 || classesLeft == 0 || assigned + capacity.applyAsDouble(rank) / 2 < end)) {
                assigned += capacity.applyAsDouble(rank);
                counts[i]++;
                rank++;
            }
        }
        return counts;
    }

    private double[] targetCounts(int workers) {
        peers.values().removeIf(peer -> lastArrivalNanos - peer.receivedNanos() > PEER_EXPIRY_NANOS);
        LatencyClassWork sum = workExcluding("");
        double total = sum.totalMillis();
        return Arrays.stream(sum.millis())
                .map(each -> each < MIN_SHARE * total ? 0 : workers * each / total)
                .toArray();
    }

    /**
     * Rounds to whole engines. Each class with a target above zero gets at least one engine, and the largest class absorbs
     * the rounding difference.
     */
    private static int[] rounded(double[] targets, int workers) {
        int[] rounded = Arrays.stream(targets)
                .mapToInt(each -> each == 0 ? 0 : (int) Math.max(1, Math.round(each)))
                .toArray();
        int largest = 0;
        for (int i = 1; i < rounded.length; i++) {
            largest = rounded[i] > rounded[largest] ? i : largest;
        }
        rounded[largest] += workers - Arrays.stream(rounded).sum();
        return rounded;
    }
}
