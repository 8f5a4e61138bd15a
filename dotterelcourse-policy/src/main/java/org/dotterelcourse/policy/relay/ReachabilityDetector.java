package org.dotterelcourse.policy.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects that this process has no link to any worker, from the outcomes of its connection attempts. Not thread-safe.
 *
 * <p>It handles a partition between this process and all workers. Each worker then looks as if it had crashed, but
 * crashes of a few workers leave others that accept connections: one accepted connection disproves the partition. The
 * caller probes further workers while a partition is suspected, and returning ones while it is detected, so that the
 * decision does not depend on where requests happen to be sent.
 */
public final class ReachabilityDetector {
    /** Failures in a row at this many workers are a partition. Fewer workers than that rarely crash together. */
    private static final int CUT_OFF_FAILURES = 5;

    /** Failures in a row at this many workers are suspicious enough to probe others. */
    private static final int SUSPICIOUS_FAILURES = 2;

    /**
     * Workers in a row that must accept a connection after a partition, and at most half of all workers. While a few are
     * reached and most are not, peers serve better.
     */
    private static final int RESTORED_CONNECTS = 3;

    /** Time after which a failure no longer counts, because the worker may have been replaced since. */
    private static final long FAILURE_TTL_NANOS = 3_000_000_000L;

    private final Map<Integer, Long> failedNanos = new HashMap<>();
    private final Set<Integer> connected = new HashSet<>();
    private boolean cutOff;

    /**
     * Records that a worker has accepted a connection.
     *
     * @param worker the worker's incarnation
     * @param publishedWorkers number of published workers of all upstreams
     * @return whether a partition has ended by that
     */
    public boolean recordConnect(int worker, int publishedWorkers) {
        failedNanos.clear();
        if (!cutOff) {
            return false;
        }
        connected.add(worker);
        cutOff = connected.size() < Math.min(RESTORED_CONNECTS, (publishedWorkers + 1) / 2);
        return !cutOff;
    }

    /**
     * Records that a connection to a worker was refused or timed out.
     *
     * @param worker the worker's incarnation
     * @param publishedWorkers number of published workers of all upstreams
     * @param nowNanos current monotonic time in nanoseconds
     * @return whether a partition is detected by that
     */
    public boolean recordConnectFailure(int worker, int publishedWorkers, long nowNanos) {
        connected.clear();
        failedNanos.values().removeIf(failed -> nowNanos - failed > FAILURE_TTL_NANOS);
        failedNanos.put(worker, nowNanos);
        boolean before = cutOff;
        cutOff |= failedNanos.size() >= Math.max(1, Math.min(CUT_OFF_FAILURES, publishedWorkers));
        return cutOff && !before;
    }

    /**
     * Returns whether this process has no link to any worker.
     *
     * @return true from the detection of the partition until its end is detected
     */
    public boolean isCutOff() {
        return cutOff;
    }

    /**
     * Returns whether further workers should be probed, because several in a row did not accept a connection.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return true while a partition is suspected, but neither detected nor disproved
     */
    public boolean isSuspicious(long nowNanos) {
        return !cutOff
                && failedNanos.values().stream()
                                .filter(failed -> nowNanos - failed <= FAILURE_TTL_NANOS)
                                .count()
                        >= SUSPICIOUS_FAILURES;
    }

    /**
     * Returns whether a worker has refused a connection since another one has accepted one.
     *
     * @param worker the worker's incarnation
     * @return true if probing it again would show nothing new
     */
    public boolean hasFailed(int worker) {
        return failedNanos.containsKey(worker);
    }
}
