package org.dotterelcourse.coordination.transport;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts messages and bytes per channel. Safe for use by any thread. */
final class ChannelCounters {

    private static final int MAX_CHANNELS = 32;
    private static final String OTHER_CHANNELS = "other";

    private final Map<String, Counter> counters = new ConcurrentHashMap<>();

    void recordSent(String channel, int bytes) {
        Counter counter = counter(channel);
        counter.sentMessages.increment();
        counter.sentBytes.add(bytes);
    }

    void recordReceived(String channel, int bytes) {
        Counter counter = counter(channel);
        counter.receivedMessages.increment();
        counter.receivedBytes.add(bytes);
    }

    void recordDropped(String channel) {
        counter(channel).dropped.increment();
    }

    Map<String, ChannelCount> snapshot() {
        Map<String, ChannelCount> counts = new TreeMap<>();
        counters.forEach((channel, counter) -> counts.put(channel, counter.snapshot()));
        return counts;
    }

    /**
     * Returns the counter of a channel, creating it if necessary. Peers choose the channel names; without a limit a
     * faulty peer could exhaust the memory with counters.
     */
    private Counter counter(String channel) {
        Counter existing = counters.get(channel);
        if (existing != null) {
            return existing;
        }
        String name = counters.size() < MAX_CHANNELS ? channel : OTHER_CHANNELS;
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
