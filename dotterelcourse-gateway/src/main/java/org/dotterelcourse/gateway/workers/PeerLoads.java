package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * What peers last said of the workers: a peer for itself, a collector for the sum of those that report to it, or a
 * collector for all others. What a peer said is forgotten when it has been silent for some periods: a process that was
 * killed would otherwise seem to keep its workers busy for ever.
 */
public final class PeerLoads {
    /** Well above the longest period between two messages of a peer. */
    private static final long KEPT_NANOS = 1_800_000_000L;

    private final Map<String, Told> byPeer = new HashMap<>();

    /**
     * What is known of one worker.
     *
     * @param inFlight requests that have no whole answer yet
     * @param interactive those whose pauses must be short
     * @param prefillMillis estimated work of prompts without a first event
     * @param succeeded requests that lately ended well, fading
     * @param failed requests that lately failed, fading
     */
    public record Load(int inFlight, int interactive, double prefillMillis, double succeeded, double failed) {
        /** Nothing in flight, and nothing lately. */
        public static final Load NONE = new Load(0, 0, 0, 0, 0);

        Load plus(Load other) {
            return new Load(
                    inFlight + other.inFlight,
                    interactive + other.interactive,
                    prefillMillis + other.prefillMillis,
                    succeeded + other.succeeded,
                    failed + other.failed);
        }
    }

    /** For whom a peer speaks. */
    public enum Scope {
        /** For itself. */
        OWN,
        /** For itself and those that report to it. */
        GATHERED,
        /** For all but this process. */
        OTHERS
    }

    private record Told(Scope scope, Map<Integer, Load> loads, long atNanos) {}

    /**
     * A peer has said what it knows.
     *
     * @param peer its name
     * @param scope for whom it speaks
     * @param loads by the incarnation of the worker; workers that are missing have nothing
     * @param nowNanos the time
     */
    public void told(String peer, Scope scope, Map<Integer, Load> loads, long nowNanos) {
        if (scope == Scope.OTHERS) {
            // Another collector has taken over; what the one before said is in its sum as well.
            byPeer.values().removeIf(told -> told.scope() == Scope.OTHERS);
        }
        byPeer.put(peer, new Told(scope, loads, nowNanos));
    }

    /**
     * Adds up what all peers said.
     *
     * @param nowNanos the time
     * @return by the incarnation of the worker
     */
    public Map<Integer, Load> sums(long nowNanos) {
        return sum(nowNanos, "", false);
    }

    /**
     * Adds up what those said that report to this process.
     *
     * @param nowNanos the time
     * @return by the incarnation of the worker
     */
    public Map<Integer, Load> reported(long nowNanos) {
        return sum(nowNanos, "", true);
    }

    /**
     * Adds up what all peers said but one.
     *
     * @param peer the one to leave out
     * @param nowNanos the time
     * @return by the incarnation of the worker
     */
    public Map<Integer, Load> without(String peer, long nowNanos) {
        return sum(nowNanos, peer, false);
    }

    private Map<Integer, Load> sum(long nowNanos, String except, boolean ownOnly) {
        byPeer.values().removeIf(told -> nowNanos - told.atNanos() > KEPT_NANOS);
        Map<Integer, Load> sums = new HashMap<>();
        byPeer.forEach((peer, told) -> {
            if (!peer.equals(except) && (!ownOnly || told.scope() == Scope.OWN)) {
                told.loads().forEach((key, load) -> sums.merge(key, load, Load::plus));
            }
        });
        return sums;
    }
}
