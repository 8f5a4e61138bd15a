package org.dotterelcourse.gateway.forward;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jboss.logging.Logger;

/**
 * Logs header values of workers that are ignored. A faulty worker may send one with every response, so each worker and
 * header is logged at most once per interval, with the number of values since the last line.
 */
final class IgnoredValueLog {
    private static final Logger LOG = Logger.getLogger(IgnoredValueLog.class);

    private static final long INTERVAL_NANOS = 10_000_000_000L;

    /** Limits memory; the source logged the longest ago is removed first, and is then logged again at once. */
    private static final int MAX_SOURCES = 1_000;

    private static final int MAX_VALUE_LENGTH = 60;

    private final Map<Source, Entry> entries = new LinkedHashMap<>();

    private record Source(String worker, String header) {}

    private record Entry(long loggedNanos, int suppressed) {}

    void log(String worker, WorkerStatement.IgnoredValue ignored, long nowNanos) {
        Source source = new Source(worker, ignored.header());
        Entry entry = entries.get(source);
        if (entry != null && nowNanos - entry.loggedNanos() < INTERVAL_NANOS) {
            entries.put(source, new Entry(entry.loggedNanos(), entry.suppressed() + 1));
            return;
        }
        entries.remove(source);
        if (entries.size() >= MAX_SOURCES) {
            entries.remove(entries.keySet().iterator().next());
        }
        entries.put(source, new Entry(nowNanos, 0));
        LOG.warnf(
                "ignored %s '%s' in a response of worker %s: %s; %d more since the last such line",
                ignored.header(),
                truncate(ignored.value()),
                worker,
                ignored.reason(),
                entry == null ? 0 : entry.suppressed());
    }

    private static String truncate(String value) {
        return value.length() <= MAX_VALUE_LENGTH ? value : value.substring(0, MAX_VALUE_LENGTH) + "...";
    }
}
