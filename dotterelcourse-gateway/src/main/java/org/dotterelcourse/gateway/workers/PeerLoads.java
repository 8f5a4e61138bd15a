package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * The latest load report of each peer. Reports expire, because a killed process would otherwise appear to keep its
 * workers busy forever.
 */
public final class PeerLoads {
    /** Well above the longest interval between two reports of a peer. */
    private static final long REPORT_TTL_NANOS = 1_800_000_000L;

    private final Map<String, Report> byPeer = new HashMap<>();

    /** Sum of all reports; null after one has arrived or expired. */
    private Map<Integer, Load> total;

    /**
     * Load and recent outcomes of one worker, as seen by one or more processes.
     *
     * @param inFlight number of requests without a complete response
     * @param interactive number of those requests whose streams need short gaps between events
     * @param prefillMillis estimated time in milliseconds to process the prompts that have no first event yet
     * @param succeeded number of recent successes, exponentially decayed
     * @param failed number of recent failures, exponentially decayed
     * @param asked number of the requests in flight for which a slot was asked for, because the worker is brittle
     */
    public record Load(
            int inFlight, int interactive, double prefillMillis, double succeeded, double failed, int asked) {
        /** No requests in flight and no recent outcomes. */
        public static final Load NONE = new Load(0, 0, 0, 0, 0);

        /**
         * Creates the load of a worker that is not brittle.
         *
         * @param inFlight number of requests without a complete response
         * @param interactive number of those requests whose streams need short gaps between events
         * @param prefillMillis estimated time in milliseconds to process the prompts that have no first event yet
         * @param succeeded number of recent successes, exponentially decayed
         * @param failed number of recent failures, exponentially decayed
         */
        public Load(int inFlight, int interactive, double prefillMillis, double succeeded, double failed) {
            this(inFlight, interactive, prefillMillis, succeeded, failed, 0);
        }

        Load plus(Load other) {
            return new Load(
                    inFlight + other.inFlight,
                    interactive + other.interactive,
                    prefillMillis + other.prefillMillis,
                    succeeded + other.succeeded,
                    failed + other.failed,
                    asked + other.asked);
        }
    }

    /** The processes whose loads a report sums up. */
    public enum Scope {
        /** The sender alone. */
        OWN,
        /** The sender, a collector, and the processes that report to it. */
        GATHERED,
        /** All processes except the receiver. */
        OTHERS
    }

    private record Report(Scope scope, Map<Integer, Load> loads, long atNanos) {}

    /**
     * Records a report, which replaces the previous one of the same peer.
     *
     * @param peer name of the sender
     * @param scope the processes whose loads the report sums up
     * @param loads loads by incarnation of the worker; workers without load may be missing
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void recordReport(String peer, Scope scope, Map<Integer, Load> loads, long nowNanos) {
        if (scope == Scope.OTHERS) {
            // The sums of a new collector and of its predecessor cover the same requests.
            byPeer.values().removeIf(report -> report.scope() == Scope.OTHERS);
        }
        total = null;
        byPeer.put(peer, new Report(scope, loads, nowNanos));
    }

    /**
     * Sums the unexpired reports of all peers. The sum is kept until a report arrives or expires.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the sums, by incarnation of the worker; must not be modified
     */
    public Map<Integer, Load> total(long nowNanos) {
        removeExpired(nowNanos);
        if (total == null) {
            // A process that is not a collector gets the report of its collector alone.
            total = byPeer.size() == 1 ? byPeer.values().iterator().next().loads() : sum("", false);
        }
        return total;
    }

    /**
     * Returns the rows of {@link #total} that change if the report of one peer is left out.
     *
     * @param peer name of the peer
     * @param nowNanos current monotonic time in nanoseconds
     * @return the sums of the other reports, for each worker in the report of the peer; {@link Load#NONE} for a worker in
     *     no other report
     */
    public Map<Integer, Load> changesExcluding(String peer, long nowNanos) {
        removeExpired(nowNanos);
        Report excluded = byPeer.get(peer);
        if (excluded == null) {
            return Map.of();
        }
        Map<Integer, Load> changes = new HashMap<>();
        for (Integer worker : excluded.loads().keySet()) {
            Load sum = Load.NONE;
            for (Report report : byPeer.values()) {
                Load load = report == excluded ? null : report.loads().get(worker);
                sum = load == null ? sum : sum.plus(load);
            }
            changes.put(worker, sum);
        }
        return changes;
    }

    /**
     * Sums the unexpired reports that peers sent for themselves alone.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the sums, by incarnation of the worker
     */
    public Map<Integer, Load> totalOfReporters(long nowNanos) {
        removeExpired(nowNanos);
        return sum("", true);
    }

    /**
     * Sums the unexpired reports of all peers except one.
     *
     * @param peer name of the peer to leave out
     * @param nowNanos current monotonic time in nanoseconds
     * @return the sums, by incarnation of the worker
     */
    public Map<Integer, Load> totalExcluding(String peer, long nowNanos) {
        removeExpired(nowNanos);
        return sum(peer, false);
    }

    private void removeExpired(long nowNanos) {
        if (byPeer.values().removeIf(report -> nowNanos - report.atNanos() > REPORT_TTL_NANOS)) {
            total = null;
        }
    }

    private Map<Integer, Load> sum(String excludedPeer, boolean ownOnly) {
        Map<Integer, Load> sums = new HashMap<>();
        byPeer.forEach((peer, report) -> {
            if (!peer.equals(excludedPeer) && (!ownOnly || report.scope() == Scope.OWN)) {
                report.loads().forEach((worker, load) -> sums.merge(worker, load, Load::plus));
            }
        });
        return sums;
    }
}
