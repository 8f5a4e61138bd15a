package org.dotterelcourse.daemon.operators;

import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Converts the registry's counters, gauges and timers to a flat map by metric name, with times in milliseconds. */
final class MetricsJson {
    private static final double NANOS_PER_MILLI = 1e6;

    private MetricsJson() {}

    static Map<String, Object> of(MetricRegistry registry) {
        Map<String, Object> values = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> values.put(name, gauge.getValue()));
        registry.getTimers().forEach((name, timer) -> {
            Snapshot snapshot = timer.getSnapshot();
            values.put(name + ".count", timer.getCount());
            values.put(name + ".p50Millis", snapshot.getMedian() / NANOS_PER_MILLI);
            values.put(name + ".p95Millis", snapshot.get95thPercentile() / NANOS_PER_MILLI);
            values.put(name + ".p99Millis", snapshot.get99thPercentile() / NANOS_PER_MILLI);
        });
        return values;
    }
}
