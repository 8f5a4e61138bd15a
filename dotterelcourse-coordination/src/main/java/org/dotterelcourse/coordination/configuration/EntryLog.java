package org.dotterelcourse.coordination.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Bounded log of the most recent consecutive entries, from which peers that lag by a few entries are served. */
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

    /**
     * Returns the entries that a process at the position can apply next, up to the size limit of a reply, but at least
     * one. Empty if the log holds neither the next entry nor a newer whole document.
     */
    List<Entry> entriesAfter(long position) {
        List<Entry> following = new ArrayList<>();
        int replyBytes = 0;
        for (Entry entry : entries) {
            boolean applicable = entry.number() == position + 1 || entry.whole() && entry.number() > position;
            if (following.isEmpty() && !applicable) {
                continue;
            }
            replyBytes += entry.body().length;
            if (!following.isEmpty() && replyBytes > MAX_REPLY_BYTES) {
                break;
            }
            following.add(entry);
        }
        return following;
    }
}
