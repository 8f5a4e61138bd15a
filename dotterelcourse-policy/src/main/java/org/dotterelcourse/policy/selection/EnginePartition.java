package org.dotterelcourse.policy.selection;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * How many of an upstream's engines are for the streams of each latencyClass, in proportion to the work that lately came to all
 * processes.
 *
 * <p>It answers a mix that changes through the day. With fixed splits, one of them is idle while the other queues; with
 * none, each long prompt delays interactive streams.
 */
public final class EnginePartition {
    /** Short enough to follow the hours of a day, and longer than a burst, which would move the split to and fro. */
    private static final double HALF_LIFE_NANOS = 30e9;

    /**
     * Work of one token of an answer beside that of the prompt, in milliseconds. A step of 5 to 10 ms makes a token for each
     * of some 20 to 40 streams (data sheets). Too much keeps engines for short answers that hardly use them, too little
     * makes their pauses long.
     */
    private static final double OUTPUT_TOKEN_MILLIS = 0.25;

    /**
     * Engines for a pace beside its work. First events that are due within a second need engines that are idle for half
     * of the time.
     */
    private static final Map<LatencyClass, Double> WEIGHT = Map.of(
            LatencyClass.GAP_SENSITIVE, 1.0, LatencyClass.START_SENSITIVE, 1.6, LatencyClass.DELAY_TOLERANT, 1.0);

    /** Assumed before anything came, and soon outweighed: milliseconds by pace. */
    private static final double[] FIRST_WORK = {220, 280, 500};

    /** How far the work must ask for another number until it changes: with each change, parts get other homes. */
    private static final double STEP = 1.2;

    /** Work below this share of all gets no engine of its own. */
    private static final double LEAST_SHARE = 0.02;

    /** How long a silent peer's work still counts. */
    private static final long KEPT_NANOS = 10_000_000_000L;

    private final Map<String, Told> peers = new HashMap<>();
    private LatencyClassWork own = new LatencyClassWork(FIRST_WORK.clone());
    private boolean begun;
    private long lastNanos;
    private int[] counts = new int[0];
    private int lastWorkers;

    private record Told(boolean alone, LatencyClassWork work, long atNanos) {}

    /**
     * What lately came to this process, for its peers.
     *
     * @return the work as of the last request
     */
    public LatencyClassWork localWork() {
        return own;
    }

    /**
     * A peer has said what lately came to it. Processes that split by the same sums mostly agree on the split.
     *
     * @param peer its name
     * @param alone whether it speaks for itself alone
     * @param work its work
     * @param nowNanos the time
     */
    public void recordPeerWork(String peer, boolean alone, LatencyClassWork work, long nowNanos) {
        peers.put(peer, new Told(alone, work, nowNanos));
    }

    /**
     * What lately came to this process and those that report to it.
     *
     * @return the sum
     */
    public LatencyClassWork reportersWork() {
        LatencyClassWork sum = own;
        for (Told told : peers.values()) {
            sum = told.alone() ? sum.plus(told.work()) : sum;
        }
        return sum;
    }

    /**
     * What lately came to all processes but one.
     *
     * @param peer its name
     * @return the sum
     */
    public LatencyClassWork workExcluding(String peer) {
        LatencyClassWork sum = own;
        for (Map.Entry<String, Told> told : peers.entrySet()) {
            sum = told.getKey().equals(peer) ? sum : sum.plus(told.getValue().work());
        }
        return sum;
    }

    /**
     * A request has come.
     *
     * @param prompt its prompt
     * @param nowNanos the time
     */
    public void recordArrival(Prompt prompt, long nowNanos) {
        double fade = begun ? Math.pow(0.5, Math.max(0, nowNanos - lastNanos) / HALF_LIFE_NANOS) : 1;
        begun = true;
        lastNanos = nowNanos;
        double work = prompt.prefillMillis(0) + OUTPUT_TOKEN_MILLIS * prompt.outputTokens();
        own = own.faded(fade).with(prompt.latencyClass(), WEIGHT.get(prompt.latencyClass()) * work);
    }

    /**
     * The ranks of the engines that are for one pace. A pace without engines of its own may use all.
     *
     * @param latencyClass the pace
     * @param workers how many engines there are
     * @return first rank and the one after the last
     */
    public Range range(LatencyClass latencyClass, int workers) {
        int paces = LatencyClass.values().length;
        if (workers < paces) {
            boolean alone = workers == 2;
            boolean first = latencyClass == LatencyClass.GAP_SENSITIVE;
            return alone ? new Range(first ? 0 : 1, first ? 1 : 2) : new Range(0, workers);
        }
        split(workers);
        int from = 0;
        for (int i = 0; i < latencyClass.ordinal(); i++) {
            from += counts[i];
        }
        int count = counts[latencyClass.ordinal()];
        return count == 0 ? new Range(0, workers) : new Range(from, from + count);
    }

    /**
     * RankHash of engines.
     *
     * @param from the first
     * @param to the one after the last
     */
    public record Range(int from, int to) {
        boolean holds(int rank) {
            return rank >= from && rank < to;
        }
    }

    private void split(int workers) {
        double[] wanted = wanted(workers);
        boolean far = workers != lastWorkers;
        for (int i = 0; !far && i < wanted.length; i++) {
            far = Math.abs(wanted[i] - counts[i]) > STEP;
        }
        if (far) {
            counts = rounded(wanted, workers);
            lastWorkers = workers;
        }
    }

    private double[] wanted(int workers) {
        peers.values().removeIf(told -> lastNanos - told.atNanos() > KEPT_NANOS);
        LatencyClassWork sum = workExcluding("");
        double total = sum.total();
        return Arrays.stream(sum.millis())
                .map(each -> each < LEAST_SHARE * total ? 0 : workers * each / total)
                .toArray();
    }

    /** Rounds so that each pace with work has one engine at least and the sum is right; the largest gives and takes. */
    private static int[] rounded(double[] wanted, int workers) {
        int[] rounded = Arrays.stream(wanted)
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
