package org.dotterelcourse.policy.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RelaySelectorTest {
    private static final int REQUESTS = 3_000;

    private final RelaySelector selector = new RelaySelector(new Random(46));

    @Test
    void selectsNothingWithoutCandidates() {
        assertThat(selector.select(List.of())).isEmpty();
    }

    @Test
    void equalPeersGetEqualParts() {
        Map<String, Integer> counts = distribute(List.of(peer("a", true, 0), peer("b", true, 0), peer("c", true, 0)));
        assertThat(counts.values()).allMatch(count -> count > REQUESTS / 4 && count < REQUESTS / 2);
    }

    @Test
    void anOverloadedPeerGetsLess() {
        Map<String, Integer> counts =
                distribute(List.of(peer("a", true, 1_000), peer("b", true, 0), peer("c", true, 0)));
        assertThat(counts.get("a")).isLessThan(counts.get("b") / 2);
    }

    @Test
    void peersOfTheSameDataCentreArePreferred() {
        Map<String, Integer> counts = distribute(List.of(peer("a", true, 0), peer("b", false, 0)));
        assertThat(counts.get("a")).isGreaterThan(counts.get("b"));
    }

    private static RelayCandidate peer(String name, boolean sameDataCentre, int loadPermille) {
        return new RelayCandidate(name, sameDataCentre, 750, loadPermille, 0);
    }

    /** Distributes requests that do not end. */
    private Map<String, Integer> distribute(List<RelayCandidate> peers) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            List<RelayCandidate> current = new ArrayList<>();
            for (RelayCandidate peer : peers) {
                current.add(new RelayCandidate(
                        peer.name(),
                        peer.sameDataCentre(),
                        peer.capacityMillicores(),
                        peer.loadPermille(),
                        counts.getOrDefault(peer.name(), 0)));
            }
            counts.merge(selector.select(current).orElseThrow().name(), 1, Integer::sum);
        }
        return counts;
    }
}
