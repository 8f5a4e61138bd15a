package org.dotterelcourse.experiments;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A worker with continuous batching: all running requests get a token each step, and a step takes longer the more there
 * are. Prompts are read beside the decoding, in chunks, the highest tier first; a cached prefix is not read again.
 */
final class FakeWorker {
    static final int BATCH_LIMIT = 16;
    static final double STEP_NANOS = 25e6;
    static final double STEP_GROWTH = 1;
    static final double PREFILL_NANOS_PER_TOKEN = 200e3;

    /** The most of a prompt that is read in one go. */
    static final long CHUNK_NANOS = 200_000_000L;

    private static final Comparator<Job> BY_PRIORITY =
            Comparator.comparingInt((Job job) -> job.call.ask.terms().tier()).thenComparingLong(job -> job.grant);

    private static final int CACHED_PREFIXES = 6;
    private static final double PREFIX_PART = 0.8;

    final String name;
    final List<Job> decoding = new ArrayList<>();
    /** The engine honours priorities: prompts are read, and what waits at it is taken, by tier and then by arrival. */
    final PriorityQueue<Job> prefilling = new PriorityQueue<>(BY_PRIORITY);

    final PriorityQueue<Job> waiting = new PriorityQueue<>(BY_PRIORITY);

    double slowness = 1;
    boolean down;
    boolean silent;
    int foreign;
    boolean isStepping;
    boolean isReading;
    long life;
    long promptTokensRead;
    private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > CACHED_PREFIXES;
        }
    };

    FakeWorker(String name) {
        this.name = name;
    }

    int running() {
        return decoding.size() + prefilling.size() + foreign;
    }

    boolean hasRoom() {
        return running() < BATCH_LIMIT;
    }

    long stepNanos() {
        double load = (double) running() / BATCH_LIMIT;
        return (long) (STEP_NANOS * (1 + STEP_GROWTH * load) * slowness);
    }

    /** The time to read the prompt, and the tokens before it; the prefix is cached afterwards. */
    long prefillNanos(Job job) {
        long prefix = job.call.ask.prefix();
        boolean hit = prefix != 0 && cache.put(prefix, true) != null;
        double prompt = job.call.ask.inputTokens() * (hit ? 1 - PREFIX_PART : 1);
        promptTokensRead += (long) prompt + job.resumedFrom;
        return (long) ((prompt + job.resumedFrom) * PREFILL_NANOS_PER_TOKEN * slowness);
    }

    /** Takes away all jobs; none of them gets another token. */
    List<Job> loseAll() {
        List<Job> lost = new ArrayList<>(decoding);
        lost.addAll(prefilling);
        lost.addAll(waiting);
        decoding.clear();
        prefilling.clear();
        waiting.clear();
        cache.clear();
        isStepping = false;
        isReading = false;
        life++;
        return lost;
    }

    void remove(Job job) {
        decoding.remove(job);
        prefilling.remove(job);
        waiting.remove(job);
    }
}
