package org.dotterelcourse.gateway.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;

import org.dotterelcourse.policy.resumption.StreamVersionNotice;

/**
 * The software versions of recent streams of one upstream that this process has begun. Notices are deferred while the upstream
 * has a single version, and kept for peers that join later.
 */
final class OwnStreamNotices {
    /** Bounds the memory of an upstream to some 400 KB. */
    private static final int MAX_NOTICES = 4_096;

    private final Deque<Entry> entries = new ArrayDeque<>();
    private int deferred;

    private record Entry(StreamVersionNotice notice, long addedNanos) {}

    /** Adds a notice that peers have not been told yet; drops the oldest one if there are too many. */
    void add(StreamVersionNotice notice, long nowNanos) {
        entries.addLast(new Entry(notice, nowNanos));
        deferred++;
        if (entries.size() > MAX_NOTICES) {
            removeFirst();
        }
    }

    private void removeFirst() {
        entries.removeFirst();
        deferred = Math.min(deferred, entries.size());
    }

    /** Removes the notices from before a time. */
    void removeBefore(long timeNanos) {
        while (!entries.isEmpty() && entries.peekFirst().addedNanos() - timeNanos < 0) {
            removeFirst();
        }
    }

    /** Returns the notices that peers have not been told yet, which then count as told. */
    List<StreamVersionNotice> takeDeferred() {
        List<StreamVersionNotice> taken = new ArrayList<>();
        Iterator<Entry> newestFirst = entries.descendingIterator();
        for (; deferred > 0; deferred--) {
            taken.add(newestFirst.next().notice());
        }
        return taken;
    }

    /** Returns all notices, oldest first. */
    Stream<StreamVersionNotice> all() {
        return entries.stream().map(Entry::notice);
    }
}
