package org.dotterelcourse.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts runs by request id, for the newest {@value #MAX_IDS} ids. Safe for use by several threads. */
final class RunCounts {
    private static final int MAX_IDS = 200_000;

    private final Map<String, Integer> counts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_IDS;
        }
    };

    synchronized void add(String requestId) {
        counts.merge(requestId, 1, Integer::sum);
    }

    synchronized Map<String, Integer> snapshot() {
        return new LinkedHashMap<>(counts);
    }
}
