package org.dotterelcourse.coordination.transport;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts messages and bytes of each channel; written by the event loop, read by anyone. */
final class ChannelCounters {

    private static final int MAX_CHANNELS = 32;
    private static final String OTHER = "other";

    private final Map<String, Counter> counters = new ConcurrentHashMap<>();

    void sent(String channel, int bytes) {
        Counter counter = counter(channel);
        counter.sentMessages.increment();
        counter.sentBytes.add(bytes);
    }

    void received(String channel, int bytes) {
        Counter counter = counter(channel);
        counter.receivedMessages.increment();
        counter.receivedBytes.add(bytes);
    }

    void dropped(String channel) {
        counter(channel).dropped.increment();
    }

    Map<String, ChannelCount> snapshot() {
        Map<String, ChannelCount> counts = new TreeMap<>();
        counters.forEach((channel, counter) -> counts.put(channel, counter.snapshot()));
        return counts;
    }

    /** A peer may send any channel name: without this bound a broken one would fill the memory with counters. */
    private Counter counter(String channel) {
        Counter known = counters.get(channel);
        if (known != null) {
            return known;
        }
        String name = counters.size() < MAX_CHANNELS ? channel : OTHER;
        return counters.computeIfAbsent(name, ignored -> new Counter());
    }

    /** Counters of one channel. */
    private static final class Counter {
        private final LongAdder sentMessages = new LongAdder();
        private final LongAdder sentBytes = new LongAdder();
        private final LongAdder receivedMessages = new LongAdder();
        private final LongAdder receivedBytes = new LongAdder();
        private final LongAdder dropped = new LongAdder();

        private ChannelCount snapshot() {
            return new ChannelCount(
                    sentMessages.sum(), sentBytes.sum(), receivedMessages.sum(), receivedBytes.sum(), dropped.sum());
        }
    }
}
