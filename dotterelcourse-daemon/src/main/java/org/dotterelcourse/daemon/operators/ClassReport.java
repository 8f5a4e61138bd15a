package org.dotterelcourse.daemon.operators;

import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Groups the counters named {@code class.CLASS.COUNTER} by request class. */
final class ClassReport {
    private static final String PREFIX = "class.";

    private ClassReport() {}

    static Map<String, Map<String, Long>> of(MetricRegistry registry) {
        Map<String, Map<String, Long>> classes = new TreeMap<>();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            if (entry.getKey().startsWith(PREFIX)) {
                add(classes, entry.getKey().substring(PREFIX.length()), entry.getValue());
            }
        }
        return classes;
    }

    private static void add(Map<String, Map<String, Long>> classes, String counterName, Counter counter) {
        int dot = counterName.indexOf('.');
        classes.computeIfAbsent(counterName.substring(0, dot), key -> new TreeMap<>())
                .put(counterName.substring(dot + 1), counter.getCount());
    }
}
