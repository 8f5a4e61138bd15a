package org.dotterelcourse.policy.resumption;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions of recent streams, as far as this process or a peer has sent their requests to workers. Notices of
 * peers may arrive late, repeatedly and in any order. Answers a client that resumes its stream at another process than the
 * one that began it, at a moment when several versions serve.
 */
public final class StreamVersionLog {
    /** Far above the streams of the target size that are recorded at one process at a time; bounds the log to some 8 MB. */
    private static final int MAX_RECORDS = 65_536;

    private final int maxRecords;
    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

    private record Entry(String version, int attempt, long recordedNanos) {}

    /** Creates an empty log of the usual size. */
    public StreamVersionLog() {
        this(MAX_RECORDS);
    }

    /**
     * Creates an empty log.
     *
     * @param maxRecords number of streams above which the least recently recorded one is dropped
     */
    StreamVersionLog(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /**
     * Records a notice of this process or of a peer, unless one of a later attempt is known.
     *
     * @param notice the version of a stream
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void record(StreamVersionNotice notice, long nowNanos) {
        Entry existing = entries.get(notice.stream());
        if (existing != null && existing.attempt() > notice.attempt()) {
            return;
        }
        entries.remove(notice.stream());
        entries.put(notice.stream(), new Entry(notice.version(), notice.attempt(), nowNanos));
        if (entries.size() > maxRecords) {
            Iterator<StreamKey> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Finds the notice of a stream.
     *
     * @param stream key of the stream
     * @return the notice of its latest attempt, whose version may be unknown; empty if there is none
     */
    public Optional<StreamVersionNotice> find(StreamKey stream) {
        Entry entry = entries.get(stream);
        return entry == null
                ? Optional.empty()
                : Optional.of(new StreamVersionNotice(stream, entry.version(), entry.attempt()));
    }

    /**
     * Removes old records.
     *
     * @param timeNanos monotonic time in nanoseconds before which records are removed
     */
    public void removeBefore(long timeNanos) {
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().recordedNanos() - timeNanos < 0) {
            oldestFirst.remove();
        }
    }

    /**
     * Returns the number of records.
     *
     * @return the number, which is bounded
     */
    public int size() {
        return entries.size();
    }
}
