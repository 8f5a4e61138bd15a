package org.dotterelcourse.policy.resumption;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions of the workers that keep parts of prompts, as far as this process or a peer has read them. Answers
 * clients that resume their streams after all processes have been lost: a worker that began a stream has read its prompt, and
 * keeps the part that belongs to its request alone for a while.
 */
public final class PartVersionLog {
    /** Some hundred parts of each worker that a process of the target size reads or keeps; bounds the log to some 8 MB. */
    private static final int MAX_RECORDS = 65_536;

    private final int maxRecords;
    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

    private record Entry(String version, long recordedNanos) {}

    /** Creates an empty log of the usual size. */
    public PartVersionLog() {
        this(MAX_RECORDS);
    }

    /**
     * Creates an empty log.
     *
     * @param maxRecords number of parts above which the least recently recorded one is dropped
     */
    PartVersionLog(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /**
     * Records that a worker keeps a part. If workers of several versions do, the part proves nothing.
     *
     * @param part key of the part
     * @param version software version of the worker; empty if it is unknown, or if workers of several versions keep the part
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void record(StreamKey part, String version, long nowNanos) {
        Entry existing = entries.remove(part);
        boolean isSame = existing == null || existing.version().equals(version);
        entries.put(part, new Entry(isSame ? version : "", nowNanos));
        if (entries.size() > maxRecords) {
            Iterator<StreamKey> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Finds the version of the workers that keep a part.
     *
     * @param part key of the part
     * @return the version, empty text if it is not a single known one; empty if no worker is known to keep the part
     */
    public Optional<String> find(StreamKey part) {
        return Optional.ofNullable(entries.get(part)).map(Entry::version);
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
