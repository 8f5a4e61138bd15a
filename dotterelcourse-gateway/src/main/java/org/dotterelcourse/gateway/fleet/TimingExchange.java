package org.dotterelcourse.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.performance.TimingSums;
import org.jboss.logging.Logger;

/**
 * Adds measured timings of workers to load reports and takes them from received ones. Each receiver gets them at most once
 * a second, and only some of the workers in one report, so that they cost under 8 KB per second and receiver.
 */
final class TimingExchange {
    private static final Logger LOG = Logger.getLogger(TimingExchange.class);
    private static final long REPORT_INTERVAL_NANOS = 1_000_000_000L;

    /** Rows of one report. A row takes about 18 bytes; the others follow in the next reports. */
    static final int MAX_ROWS = 400;

    private static final long LOG_INTERVAL_NANOS = 10_000_000_000L;

    private final GatewayState state;
    private final Counter implausible;
    private final Map<String, Sent> sent = new HashMap<>();
    private final Map<String, Warning> warnings = new HashMap<>();

    /** When a receiver got its last rows, and the worker of the last one. */
    private record Sent(long atNanos, int lastWorker) {}

    private record Warning(long atNanos, int suppressed) {}

    TimingExchange(GatewayState state, MetricRegistry metrics) {
        this.state = state;
        metrics.gauge(
                "gateway.performance.estimated-workers", () -> (Gauge<Integer>) state.timings()::estimatedWorkers);
        metrics.gauge("gateway.performance.slow-workers", () -> (Gauge<Integer>) state.timings()::slowWorkers);
        this.implausible = metrics.counter("gateway.performance.implausible-rows");
    }

    /** Adds rows to a report if they are due. */
    void addTo(FleetProtos.LoadReport.Builder report, PeerLoads.Scope scope, String receiver, long nowNanos) {
        String key = scope + " " + receiver;
        Sent last = sent.get(key);
        if (last != null && nowNanos - last.atNanos() < REPORT_INTERVAL_NANOS) {
            return;
        }
        Map<Integer, TimingSums> all = state.timings().sums(scope, receiver, nowNanos);
        Map<Integer, TimingSums> rows = all.size() <= MAX_ROWS ? all : rowsAfter(all, last);
        int lastWorker = rows.isEmpty()
                ? 0
                : rows.keySet().stream().reduce((first, next) -> next).orElseThrow();
        sent.put(key, new Sent(nowNanos, lastWorker));
        if (!rows.isEmpty()) {
            report.setTimings(TimingCodec.encode(rows));
        }
    }

    /** Returns the rows that follow those of the last report in the order of workers, beginning again after the last. */
    private static Map<Integer, TimingSums> rowsAfter(Map<Integer, TimingSums> all, Sent last) {
        TreeMap<Integer, TimingSums> ordered = new TreeMap<>(all);
        SortedMap<Integer, TimingSums> tail = last == null ? ordered : ordered.tailMap(last.lastWorker(), false);
        Map<Integer, TimingSums> rows = new LinkedHashMap<>();
        tail.forEach((worker, sums) -> putIfRoom(rows, worker, sums));
        ordered.forEach((worker, sums) -> putIfRoom(rows, worker, sums));
        return rows;
    }

    private static void putIfRoom(Map<Integer, TimingSums> rows, int worker, TimingSums sums) {
        if (rows.size() < MAX_ROWS) {
            rows.putIfAbsent(worker, sums);
        }
    }

    /** Takes the rows of a received report. Values that can't be read are logged and leave the rest of it in force. */
    void receive(String peer, PeerLoads.Scope scope, FleetProtos.LoadReport report, long nowNanos) {
        if (!report.hasTimings()) {
            return;
        }
        Map<Integer, TimingSums> rows;
        try {
            rows = TimingCodec.decode(report.getTimings());
        } catch (IllegalArgumentException e) {
            implausible.inc();
            warn(peer, e.getMessage() + ", the timings are ignored", nowNanos);
            return;
        }
        int bounded = state.timings().recordReport(peer, scope, rows, state.reachableProcesses(), nowNanos);
        if (bounded > 0) {
            implausible.inc(bounded);
            warn(peer, bounded + " of " + rows.size() + " rows are implausible and were bounded", nowNanos);
        }
    }

    private void warn(String peer, String what, long nowNanos) {
        Warning last = warnings.get(peer);
        if (last != null && nowNanos - last.atNanos() < LOG_INTERVAL_NANOS) {
            warnings.put(peer, new Warning(last.atNanos(), last.suppressed() + 1));
            return;
        }
        warnings.put(peer, new Warning(nowNanos, 0));
        LOG.warnf(
                "timings of %s: %s; %d more since the last such line",
                peer, what, last == null ? 0 : last.suppressed());
    }

    /** Forgets the peers that are no longer members, except for the groups of receivers. */
    void retainPeers(Collection<String> members) {
        warnings.keySet().retainAll(members);
        sent.keySet()
                .removeIf(key -> key.startsWith(PeerLoads.Scope.OTHERS + " ")
                        && !members.contains(key.substring(key.indexOf(' ') + 1)));
    }
}
