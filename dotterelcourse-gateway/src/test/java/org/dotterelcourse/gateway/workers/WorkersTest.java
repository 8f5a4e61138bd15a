package org.dotterelcourse.gateway.workers;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.policy.selection.WorkerLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkersTest {
    private static final long SECOND = 1_000_000_000L;

    private final Workers workers = new Workers();

    // A worker crashes and starts again under a new name. Its old entry runs out only seconds later, and every request
    // that is meant for the old name is refused by the new one.
    @Test
    void aWorkerAtAnAddressReplacesTheOneThatWasThere() {
        workers.published(entry("old", 1, false));
        workers.published(entry("new", 1, false));
        assertThat(ids()).containsExactly("new");
        workers.published(entry("old", 1, true));
        assertThat(ids()).containsExactly("new");
        workers.gone("old");
        assertThat(ids()).containsExactly("new");
    }

    @Test
    void aLeavingWorkerIsNoCandidate() {
        workers.published(entry("a", 1, false));
        workers.published(entry("b", 2, true));
        assertThat(ids()).containsExactly("a");
    }

    @Test
    void whatPeersHaveInFlightIsAddedUntilTheyGoSilent() {
        workers.published(entry("a", 1, false));
        workers.peerLoad("p1", Map.of("a", new PeerLoads.Load(2, 1, 30)), SECOND);
        workers.peerLoad("p2", Map.of("a", new PeerLoads.Load(3, 0, 10)), SECOND);
        WorkerLoad load = workers.candidates("u", Set.of(), SECOND).get(0);
        assertThat(load.inFlight()).isEqualTo(5);
        assertThat(load.interactiveStreams()).isEqualTo(1);
        assertThat(load.prefillMillis()).isEqualTo(40);
        workers.peerLoad("p1", Map.of(), 4 * SECOND);
        assertThat(workers.candidates("u", Set.of(), 4 * SECOND).get(0).inFlight())
                .isZero();
    }

    @Test
    void aPlacementCountsOnceHoweverOftenItEnds() {
        workers.published(entry("a", 1, false));
        WorkerState worker = workers.find("a").orElseThrow();
        Placement placement = workers.place(worker, true, 50);
        assertThat(workers.own()).containsEntry("a", new PeerLoads.Load(1, 1, 50));
        placement.started();
        placement.started();
        assertThat(workers.own()).containsEntry("a", new PeerLoads.Load(1, 1, 0));
        placement.ended();
        placement.ended();
        assertThat(workers.own()).isEmpty();
    }

    private List<String> ids() {
        return workers.candidates("u", Set.of(), 0).stream().map(WorkerLoad::id).toList();
    }

    private static WorkerEntry entry(String id, int host, boolean leaving) {
        return new WorkerEntry(id, "u", "10.0.0." + host, 8000, "dc", 4, leaving);
    }
}
