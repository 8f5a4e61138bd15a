package org.dotterelcourse.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/** What an engine did for each request id, for the newest {@value #MAX_IDS} ids. Safe for use by several threads. */
final class EngineCounts {
    private static final int MAX_IDS = 200_000;
    private static final RequestCount NONE = new RequestCount(0, 0, 0, 0);

    private final Map<String, RequestCount> counts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RequestCount> eldest) {
            return size() > MAX_IDS;
        }
    };

    synchronized void accepted(String id) {
        RequestCount old = counts.getOrDefault(id, NONE);
        counts.put(id, new RequestCount(old.accepted() + 1, old.started(), old.generated(), old.wasted()));
    }

    synchronized void started(String id) {
        RequestCount old = counts.getOrDefault(id, NONE);
        counts.put(id, new RequestCount(old.accepted(), old.started() + 1, old.generated(), old.wasted()));
    }

    synchronized void generated(String id) {
        RequestCount old = counts.getOrDefault(id, NONE);
        counts.put(id, new RequestCount(old.accepted(), old.started(), old.generated() + 1, old.wasted()));
    }

    synchronized void wasted(String id, int tokens) {
        RequestCount old = counts.getOrDefault(id, NONE);
        counts.put(id, new RequestCount(old.accepted(), old.started(), old.generated(), old.wasted() + tokens));
    }

    synchronized Map<String, RequestCount> snapshot() {
        return new LinkedHashMap<>(counts);
    }
}
