package org.dotterelcourse.coordination.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The last entries without a gap, bounded in number and bytes, for peers that are a little behind. */
final class EntryLog {

    private static final int MAX_REPLY_BYTES = 1 << 20;

    private final Deque<Entry> entries = new ArrayDeque<>();
    private final int maxEntries;
    private final long maxBytes;
    private long bytes;

    EntryLog(int maxEntries, long maxBytes) {
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
    }

    void add(Entry entry) {
        boolean gap = !entries.isEmpty() && entry.number() != entries.getLast().number() + 1;
        if (gap) {
            clear();
        }
        entries.addLast(entry);
        bytes += entry.body().length;
        while (entries.size() > maxEntries || bytes > maxBytes) {
            bytes -= entries.removeFirst().body().length;
        }
    }

    void clear() {
        entries.clear();
        bytes = 0;
    }

    /** Entries from which a process at the position can go on, as many as fit a message; empty when there are none. */
    List<Entry> after(long position) {
        List<Entry> found = new ArrayList<>();
        int size = 0;
        for (Entry entry : entries) {
            boolean first = entry.number() == position + 1 || entry.whole() && entry.number() > position;
            if (found.isEmpty() && !first) {
                continue;
            }
            size += entry.body().length;
            if (!found.isEmpty() && size > MAX_REPLY_BYTES) {
                break;
            }
            found.add(entry);
        }
        return found;
    }
}
