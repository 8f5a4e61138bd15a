package org.dotterelcourse.gateway.fleet;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos;

/** What peers state about the only version of an upstream. */
final class OnlyVersionClaims {
    private final Set<String> versions = new HashSet<>();
    private boolean isContradicted;

    void add(FleetProtos.StreamVersionAnswer answer) {
        if (answer.hasOnlyVersion()) {
            versions.add(answer.getOnlyVersion());
        }
        isContradicted |= answer.getSeveralVersions();
    }

    /**
     * Returns the version that peers vouch for; empty if none does, if they don't agree, or if one has seen several versions,
     * which a peer that is out of step with the store has missed.
     */
    Optional<String> version() {
        return versions.size() == 1 && !isContradicted ? versions.stream().findFirst() : Optional.empty();
    }
}
