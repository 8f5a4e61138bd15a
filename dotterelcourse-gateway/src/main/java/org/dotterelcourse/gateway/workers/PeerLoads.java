package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * What peers last said they have in flight at each worker. What a peer said is forgotten when it has been silent for
 * some periods: a process that was killed would otherwise seem to keep its workers busy for ever.
 */
public final class PeerLoads {
    /** Well above the longest period between two messages of a peer in a large fleet. */
    private static final long KEPT_NANOS = 1_800_000_000L;

    private final Map<String, Told> byPeer = new HashMap<>();

    /**
     * Requests at one worker.
     *
     * @param inFlight all that have no whole answer yet
     * @param interactive those whose pauses must be short
     * @param prefillMillis estimated work of prompts without a first event
     */
    public record Load(int inFlight, int interactive, double prefillMillis) {
        /** Nothing in flight. */
        public static final Load NONE = new Load(0, 0, 0);

        Load plus(Load other) {
            return new Load(
                    inFlight + other.inFlight, interactive + other.interactive, prefillMillis + other.prefillMillis);
        }
    }

    private record Told(Map<String, Load> loads, long atNanos) {}

    /**
     * A peer has said what it has in flight.
     *
     * @param peer its name
     * @param loads by worker id; workers that are missing have nothing
     * @param nowNanos the time
     */
    public void told(String peer, Map<String, Load> loads, long nowNanos) {
        byPeer.put(peer, new Told(Map.copyOf(loads), nowNanos));
    }

    /**
     * Adds up what all peers said.
     *
     * @param nowNanos the time
     * @return by worker id
     */
    public Map<String, Load> sums(long nowNanos) {
        byPeer.values().removeIf(told -> nowNanos - told.atNanos() > KEPT_NANOS);
        Map<String, Load> sums = new HashMap<>();
        byPeer.values().forEach(told -> told.loads().forEach((id, load) -> sums.merge(id, load, Load::plus)));
        return sums;
    }
}
