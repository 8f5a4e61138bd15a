package org.dotterelcourse.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * An engine's prompt prefix cache: blocks of 16 tokens, the least recently used evicted first. Its events come late and
 * some are missing; the gap shows in the sequence numbers. Guarded by the engine's lock.
 */
final class PrefixCache {
    /**
     * One event.
     *
     * @param seq its number
     * @param kind {@code stored} or {@code evicted}
     * @param prefix the hash of the prompt up to the end of the block, hexadecimal
     */
    record Event(long seq, String kind, String prefix) {}

    private record Dated(long visibleNanos, Event event) {}

    private static final int BLOCK_TOKENS = 16;
    private static final int BLOCK_CHARACTERS = 64;
    private static final int MAX_EVENTS = 10_000;

    private final int maxBlocks;
    private final long delayNanos;
    private final double lossRate;
    private final SplittableRandom random;
    private final LongSupplier nanos;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Dated> events = new ArrayDeque<>();
    private long seq;

    PrefixCache(int maxBlocks, long delayNanos, double lossRate, long seed, LongSupplier nanos) {
        this.maxBlocks = maxBlocks;
        this.delayNanos = delayNanos;
        this.lossRate = lossRate;
        this.random = new SplittableRandom(seed);
        this.nanos = nanos;
    }

    /** How many tokens of the prompt must be prefilled; stores its blocks. */
    int uncachedTokens(String prompt) {
        int cached = 0;
        boolean hit = true;
        for (long block : blockHashes(prompt)) {
            hit = hit && blocks.get(block) != null;
            if (hit) {
                cached += BLOCK_TOKENS;
            } else {
                store(block);
            }
        }
        return Math.max(1, ExpectedAnswer.promptTokens(prompt) - cached);
    }

    List<Event> eventsAfter(long after) {
        List<Event> visible = new ArrayList<>();
        long now = nanos.getAsLong();
        for (Dated each : events) {
            if (each.event.seq() > after && each.visibleNanos - now <= 0) {
                visible.add(each.event);
            }
        }
        return visible;
    }

    void clear() {
        blocks.clear();
    }

    private static List<Long> blockHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            long before = hashes.isEmpty() ? 0 : hashes.get(hashes.size() - 1);
            hashes.add(ExpectedAnswer.hash(before + prompt.substring(end - BLOCK_CHARACTERS, end)));
        }
        return hashes;
    }

    private void store(long block) {
        if (maxBlocks == 0 || blocks.put(block, true) != null) {
            return;
        }
        publish("stored", block);
        if (blocks.size() > maxBlocks) {
            Iterator<Long> oldest = blocks.keySet().iterator();
            long evicted = oldest.next();
            oldest.remove();
            publish("evicted", evicted);
        }
    }

    private void publish(String kind, long block) {
        seq++;
        if (random.nextDouble() < lossRate) {
            return;
        }
        events.addLast(new Dated(nanos.getAsLong() + delayNanos, new Event(seq, kind, Long.toHexString(block))));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
