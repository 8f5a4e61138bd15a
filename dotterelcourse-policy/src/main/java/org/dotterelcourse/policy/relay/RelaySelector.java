package org.dotterelcourse.policy.relay;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the peer to which a process without a link to the workers relays a request: the less loaded of two random ones
 * ("power of two choices").
 *
 * <p>It handles many processes that are cut off at once, such as a data centre, and that know of each other's relayed
 * requests only after a while: the least loaded peer would get the requests of all of them.
 */
public final class RelaySelector {
    /** Capacity of a VM that has published none, in thousandths of a core. */
    private static final int DEFAULT_MILLICORES = 1_000;

    /** Relative cost of another data centre: less than that of a peer that is half as large or busy. */
    private static final double REMOTE_FACTOR = 1.5;

    /** Weight of the published load: an overloaded peer costs four times as much as an idle one. */
    private static final double LOAD_WEIGHT = 3;

    private static final double PERMILLE = 1_000;

    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param random source of the random choices
     */
    public RelaySelector(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Selects a peer.
     *
     * @param candidates the peers that are alive and reach workers
     * @return the selected peer; empty if there is no candidate
     */
    public Optional<RelayCandidate> select(List<RelayCandidate> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        RelayCandidate first = candidates.get(random.nextInt(candidates.size()));
        RelayCandidate second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(cost(first) <= cost(second) ? first : second);
    }

    private static double cost(RelayCandidate candidate) {
        int millicores = candidate.capacityMillicores() > 0 ? candidate.capacityMillicores() : DEFAULT_MILLICORES;
        return (1 + candidate.inFlight())
                * (1 + LOAD_WEIGHT * candidate.loadPermille() / PERMILLE)
                * (candidate.sameDataCentre() ? 1 : REMOTE_FACTOR)
                / millicores;
    }
}
