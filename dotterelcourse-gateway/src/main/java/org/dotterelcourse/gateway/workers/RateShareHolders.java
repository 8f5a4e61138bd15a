package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.dotterelcourse.coordination.ownership.Rendezvous;

/**
 * Decides whether this process is one of those that may use a rate-limited worker. The processes are ranked by
 * rendezvous hashing of the worker's id over the members of the fleet, so that all agree without communication.
 */
final class RateShareHolders {
    /**
     * Growth factor of the fleet above which this process is considered to be still discovering its members. After a
     * failure of the whole fleet, each process starts with itself as the only known member, and without this check
     * would use every rate-limited worker.
     */
    private static final double DISCOVERY_GROWTH_FACTOR = 1.25;

    /**
     * How long a process that is still discovering members uses no rate-limited worker. It finds most members within a
     * second.
     */
    private static final long DISCOVERY_NANOS = 2_000_000_000L;

    /**
     * How long processes that are no longer members count for the part of a worker that this process may use: a process that
     * has lost its links to most others can't tell whether they still use the worker.
     */
    private static final long LOST_NANOS = 30_000_000_000L;

    private final Map<String, Integer> ranks = new HashMap<>();
    private List<String> others = List.of();
    private String self = "";
    private int stableSize;
    private long discoveryEndNanos;
    private boolean membersReceived;
    private int largestSize = 1;
    private long largestNanos;

    /**
     * Updates the members of the fleet.
     *
     * @param ownName name of this process
     * @param otherNames names of the other processes that are not dead according to membership
     * @param nowNanos current monotonic time in nanoseconds
     */
    void updateFleet(String ownName, List<String> otherNames, long nowNanos) {
        if (processes() >= largestSize) {
            largestNanos = nowNanos;
        }
        self = ownName;
        others = List.copyOf(otherNames);
        ranks.clear();
        if (!membersReceived || processes() > DISCOVERY_GROWTH_FACTOR * stableSize) {
            membersReceived = true;
            discoveryEndNanos = nowNanos + DISCOVERY_NANOS;
            stableSize = processes();
        }
        stableSize = Math.min(stableSize, processes());
        if (processes() >= largestSize || nowNanos - largestNanos > LOST_NANOS) {
            largestSize = processes();
            largestNanos = nowNanos;
        }
    }

    /** Returns the number of processes in the fleet, this one included. */
    int processes() {
        return others.size() + 1;
    }

    /** Returns whether this process still discovers the members of the fleet. */
    boolean isDiscovering(long nowNanos) {
        return !membersReceived || nowNanos - discoveryEndNanos < 0;
    }

    /** Returns the largest number of processes in the fleet lately, this one included. */
    int recentProcesses(long nowNanos) {
        return nowNanos - largestNanos > LOST_NANOS ? processes() : Math.max(largestSize, processes());
    }

    /** Returns whether this process is among the first {@code holders} processes in the ranking for a worker. */
    boolean includesSelf(String worker, int holders, long nowNanos) {
        return !isDiscovering(nowNanos) && ranks.computeIfAbsent(worker, this::rank) < holders;
    }

    private int rank(String worker) {
        long own = Rendezvous.weight(worker, self);
        return (int) others.stream()
                .filter(other -> Long.compareUnsigned(Rendezvous.weight(worker, other), own) > 0)
                .count();
    }
}
