package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Predicate;

import org.dotterelcourse.policy.performance.TimingRecorder;
import org.dotterelcourse.policy.performance.TimingSums;

/**
 * The latest timings of each peer, by worker. They decay with their age as the peers' own sums do, so that those of a lost
 * peer or collector lose their influence within seconds.
 */
final class PeerTimings {
    /** Age after which a row has decayed to less than a tenth and is removed. */
    private static final long ROW_TTL_NANOS = 15_000_000_000L;

    /** Name under which the sums of this process's collector are kept, so that a new collector's replace them. */
    private static final String ANY_COLLECTOR = "";

    private final Map<String, Source> sources = new HashMap<>();
    private Map<Integer, TimingSums> total;
    private long totalNanos;

    private record Row(TimingSums sums, long atNanos) {
        TimingSums at(long nowNanos) {
            return sums.scaled(TimingRecorder.decay(nowNanos - atNanos));
        }
    }

    private record Source(PeerLoads.Scope scope, Map<Integer, Row> rows) {}

    /** Records the rows of a report, which replace those of the same workers in earlier reports of the peer. */
    void recordReport(String peer, PeerLoads.Scope scope, Map<Integer, TimingSums> rows, long nowNanos) {
        total = null;
        String name = scope == PeerLoads.Scope.OTHERS ? ANY_COLLECTOR : peer;
        Source source = sources.get(name);
        if (source == null || source.scope() != scope) {
            source = new Source(scope, new HashMap<>());
            sources.put(name, source);
        }
        for (Map.Entry<Integer, TimingSums> row : rows.entrySet()) {
            source.rows().put(row.getKey(), new Row(row.getValue(), nowNanos));
        }
    }

    /** Removes the rows of workers that have ended, and expired ones. */
    void removeObsolete(Predicate<Integer> isCurrent, long nowNanos) {
        total = null;
        for (Iterator<Source> each = sources.values().iterator(); each.hasNext(); ) {
            Map<Integer, Row> rows = each.next().rows();
            rows.entrySet()
                    .removeIf(row -> !isCurrent.test(row.getKey())
                            || nowNanos - row.getValue().atNanos() > ROW_TTL_NANOS);
            if (rows.isEmpty()) {
                each.remove();
            }
        }
    }

    /** Sums the rows of all peers except one. */
    Map<Integer, TimingSums> totalExcluding(String peer, long nowNanos) {
        Map<Integer, TimingSums> sums = total(nowNanos);
        Source excluded = sources.get(peer);
        if (excluded != null) {
            excluded.rows()
                    .forEach((worker, row) -> sums.computeIfPresent(worker, (id, sum) -> sum.minus(row.at(nowNanos))));
        }
        return sums;
    }

    /** Sums the rows that peers sent for themselves alone. */
    Map<Integer, TimingSums> totalOfReporters(long nowNanos) {
        return sum(true, nowNanos);
    }

    /** Sums the rows of all peers. Computed once for all reports of one time. */
    Map<Integer, TimingSums> total(long nowNanos) {
        if (total == null || nowNanos != totalNanos) {
            total = sum(false, nowNanos);
            totalNanos = nowNanos;
        }
        return new HashMap<>(total);
    }

    private Map<Integer, TimingSums> sum(boolean ownOnly, long nowNanos) {
        Map<Integer, TimingSums> sums = new HashMap<>();
        for (Source source : sources.values()) {
            if (!ownOnly || source.scope() == PeerLoads.Scope.OWN) {
                source.rows().forEach((worker, row) -> sums.merge(worker, row.at(nowNanos), TimingSums::plus));
            }
        }
        return sums;
    }
}
