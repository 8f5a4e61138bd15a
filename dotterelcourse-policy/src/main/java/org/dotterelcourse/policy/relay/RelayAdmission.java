package org.dotterelcourse.policy.relay;

/**
 * Decides how many requests of peers a process sends on. The share that is left for the clients of the process itself is
 * guaranteed, also while most of the fleet is cut off from the workers.
 */
public final class RelayAdmission {
    /** Relayed requests in flight that are always accepted: a few streams of each of some peers. */
    private static final int MIN_RELAYED = 32;

    /** Relayed requests per own request in flight: the clients of two peers beside those of this process. */
    private static final int MAX_RELAYED_PER_OWN = 2;

    /** Lag of the event loop above which nothing is relayed: a third of the shortest latency targets of plain requests. */
    private static final long MAX_LAG_MILLIS = 100;

    private RelayAdmission() {}

    /**
     * Returns whether a peer's request is accepted.
     *
     * @param relayed number of peers' requests in flight
     * @param own number of requests in flight of this process's own clients
     * @param lagMillis lag of the event loop in milliseconds
     * @return true if it leaves enough capacity for the clients of this process
     */
    public static boolean accepts(int relayed, int own, long lagMillis) {
        return !isBehind(lagMillis) && relayed < Math.max(MIN_RELAYED, MAX_RELAYED_PER_OWN * own);
    }

    /**
     * Returns whether a process is too far behind to relay anything.
     *
     * @param lagMillis lag of the event loop in milliseconds
     * @return true if no peer's request is accepted, however few there are
     */
    public static boolean isBehind(long lagMillis) {
        return lagMillis >= MAX_LAG_MILLIS;
    }
}
