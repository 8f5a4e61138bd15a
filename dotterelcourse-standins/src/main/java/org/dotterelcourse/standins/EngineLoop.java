package org.dotterelcourse.standins;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The continuously batching loop of an engine, without clock or network. A step either prefills a piece of one prompt or
 * decodes one token of each sequence in the batch; the two take turns while there is work for both. Guarded by the
 * engine's lock.
 */
final class EngineLoop {
    /**
     * How long steps take and how much fits.
     *
     * @param stepNanos the time of a decoding step with an empty batch
     * @param perSequenceNanos what each sequence in the batch adds to it
     * @param prefillTokenNanos the time to prefill one token
     * @param batchLimit how many sequences run at once
     * @param waitingLimit how many wait beyond that
     */
    record Shape(long stepNanos, long perSequenceNanos, long prefillTokenNanos, int batchLimit, int waitingLimit) {}

    private static final int PREFILL_PIECE = 512;

    private record Waiting(long order, Sequence sequence) {}

    private final Shape shape;
    private final PrefixCache cache;
    private final EngineCounts counts;
    private final List<Sequence> batch = new ArrayList<>();
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(
            Comparator.comparingInt((Waiting each) -> each.sequence.priority).thenComparingLong(Waiting::order));
    private long arrivals;
    private Sequence prefilling;
    private boolean decoding;
    private boolean prefilledLast;

    EngineLoop(Shape shape, PrefixCache cache, EngineCounts counts) {
        this.shape = shape;
        this.cache = cache;
        this.counts = counts;
    }

    boolean offer(Sequence sequence) {
        if (batch.size() >= shape.batchLimit() && waiting.size() >= shape.waitingLimit()) {
            return false;
        }
        counts.accepted(sequence.requestId);
        arrivals++;
        waiting.add(new Waiting(arrivals, sequence));
        admit();
        return true;
    }

    void cancel(Sequence sequence) {
        if (batch.remove(sequence)) {
            counts.wasted(sequence.requestId, sequence.generated());
        }
        waiting.removeIf(each -> each.sequence == sequence);
        if (prefilling == sequence) {
            prefilling = null;
        }
        admit();
    }

    /** Takes everything out, as a crash does. */
    List<Sequence> clear() {
        List<Sequence> all = new ArrayList<>(batch);
        for (Sequence each : batch) {
            counts.wasted(each.requestId, each.generated());
        }
        waiting.forEach(each -> all.add(each.sequence));
        batch.clear();
        waiting.clear();
        prefilling = null;
        decoding = false;
        return all;
    }

    /** Picks the work of the next step; returns its time in nanoseconds, 0 when there is none. */
    long begin() {
        Sequence next = nextToPrefill();
        boolean decodable = batch.stream().anyMatch(each -> each.prefillLeft() == 0);
        if (next != null && !(prefilledLast && decodable)) {
            prefilling = next;
            prefilledLast = true;
            return Math.max(1, shape.prefillTokenNanos() * Math.min(PREFILL_PIECE, next.prefillLeft()));
        }
        prefilledLast = false;
        decoding = decodable;
        return decodable ? shape.stepNanos() + shape.perSequenceNanos() * batch.size() : 0;
    }

    /** Does the work that {@link #begin} picked; returns the sequences that it completed. */
    List<Sequence> end() {
        if (prefilling != null) {
            prefilling.prefilled(Math.min(PREFILL_PIECE, prefilling.prefillLeft()));
            prefilling = null;
            return List.of();
        }
        List<Sequence> complete = new ArrayList<>();
        if (decoding) {
            decoding = false;
            decode(complete);
        }
        batch.removeAll(complete);
        admit();
        return complete;
    }

    int running() {
        return batch.size();
    }

    int waiting() {
        return waiting.size();
    }

    long tokensHeld() {
        long held = 0;
        for (Sequence each : batch) {
            held += each.promptTokens + each.produced();
        }
        return held;
    }

    private void decode(List<Sequence> complete) {
        for (Sequence each : batch) {
            if (each.prefillLeft() > 0) {
                continue;
            }
            if (!each.complete()) {
                each.decode();
                counts.generated(each.requestId);
            }
            if (each.complete()) {
                complete.add(each);
            }
        }
    }

    private void admit() {
        while (batch.size() < shape.batchLimit() && !waiting.isEmpty()) {
            Sequence sequence = waiting.poll().sequence;
            counts.started(sequence.requestId);
            int uncached = cache.uncachedTokens(sequence.prompt);
            sequence.needPrefill(sequence.kvImported ? 0 : uncached + sequence.firstToken);
            batch.add(sequence);
        }
    }

    private Sequence nextToPrefill() {
        for (Sequence each : batch) {
            if (each.prefillLeft() > 0) {
                return each;
            }
        }
        return null;
    }
}
