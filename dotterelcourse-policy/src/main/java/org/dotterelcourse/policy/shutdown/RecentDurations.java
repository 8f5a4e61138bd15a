package org.dotterelcourse.policy.shutdown;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The longest durations of the recent past, by kind of request. A duration is remembered for one to two windows. Not
 * thread-safe.
 */
final class RecentDurations {
    private final long windowNanos;
    private Map<String, Long> current = new HashMap<>();
    private Map<String, Long> previous = new HashMap<>();
    private long windowBeginNanos;

    /**
     * Creates a memory without durations.
     *
     * @param windowNanos length of a window in nanoseconds
     * @param nowNanos monotonic time in nanoseconds
     */
    RecentDurations(long windowNanos, long nowNanos) {
        this.windowNanos = windowNanos;
        this.windowBeginNanos = nowNanos;
    }

    void record(String kind, long nanos, long nowNanos) {
        advance(nowNanos);
        current.merge(kind, nanos, Math::max);
    }

    /** Returns the longest duration in nanoseconds; empty if there was none. */
    OptionalLong longest(String kind, long nowNanos) {
        advance(nowNanos);
        long longest = Math.max(current.getOrDefault(kind, -1L), previous.getOrDefault(kind, -1L));
        return longest < 0 ? OptionalLong.empty() : OptionalLong.of(longest);
    }

    private void advance(long nowNanos) {
        long elapsed = nowNanos - windowBeginNanos;
        if (elapsed >= windowNanos) {
            previous = elapsed < 2 * windowNanos ? current : new HashMap<>();
            current = new HashMap<>();
            windowBeginNanos = nowNanos;
        }
    }
}
