package org.dotterelcourse.gateway.workers;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.policy.cold.ColdStart;
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
        publish(entry("old", 1, false));
        publish(entry("new", 1, false));
        assertThat(ids()).containsExactly("new");
        publish(entry("old", 1, true));
        assertThat(ids()).containsExactly("new");
        workers.remove("old");
        assertThat(ids()).containsExactly("new");
    }

    // Two workers name one address, and the news of the older one comes last. Requests that are meant for the older one
    // would all be refused.
    @Test
    void ofTwoWorkersAtAnAddressTheOneThatStartedLastIsUsed() {
        publish(started("new", 2_000, "u"));
        publish(started("old", 1_000, "u"));
        assertThat(ids()).containsExactly("new");
    }

    // Another program publishes an entry with a worker's address and an upstream that nobody configured. The worker
    // is there as before, and must go on getting requests.
    @Test
    void anEntryOfAnUnknownUpstreamTakesNoWorkersAddress() {
        workers.upstreams("u"::equals, upstream -> ColdStart.none());
        publish(started("a", 1_000, "u"));
        publish(started("stray", 2_000, "nobody's"));
        assertThat(ids()).containsExactly("a");
        workers.upstreams(upstream -> true, upstream -> ColdStart.none());
        assertThat(ids()).isEmpty();
    }

    // A worker crashes and is back at once under the same name. What was in flight there has died with it, and so have
    // its failures; a process that still counted them would leave an idle worker alone for seconds.
    @Test
    void nothingThatWasKnownOfAWorkerHoldsAfterItHasStartedAgain() {
        publish(started("a", 1_000, "u"));
        WorkerState before = workers.find("a").orElseThrow();
        Placement placement = workers.place(before, true, 50, SECOND);
        placement.recordConnectFailure(SECOND);
        int incarnation = before.incarnation();
        workers.peerLoad("p1", PeerLoads.Scope.OWN, Map.of(incarnation, new PeerLoads.Load(2, 1, 30, 0, 9)), SECOND);
        WorkerLoad load = workers.candidates("u", Set.of(), SECOND).get(0);
        assertThat(load.inFlight()).isEqualTo(3);
        assertThat(load.suspected()).isTrue();

        publish(started("a", 2_000, "u"));
        load = workers.candidates("u", Set.of(), SECOND).get(0);
        assertThat(load.incarnation()).isNotEqualTo(incarnation);
        assertThat(load.inFlight()).isZero();
        assertThat(load.prefillMillis()).isZero();
        assertThat(load.suspected()).isFalse();

        placement.recordFailure(SECOND);
        placement.end();
        load = workers.candidates("u", Set.of(), SECOND).get(0);
        assertThat(load.inFlight()).isZero();
        assertThat(load.suspected()).isFalse();
    }

    // News of a worker's earlier start comes late, when the worker serves again. It must not bring back what was known.
    @Test
    void lateNewsOfAnEarlierStartChangesNothing() {
        publish(started("a", 2_000, "u"));
        WorkerState current = workers.find("a").orElseThrow();
        publish(new WorkerEntry("a", 1_000, "u", "10.0.0.1", 8000, "dc", 4, true, 0));
        assertThat(workers.find("a")).containsSame(current);
        assertThat(ids()).containsExactly("a");
    }

    @Test
    void aLeavingWorkerIsNoCandidate() {
        publish(entry("a", 1, false));
        publish(entry("b", 2, true));
        assertThat(ids()).containsExactly("a");
    }

    // Operators evacuate two data centres, one after the other, while workers start there. None of their workers may
    // get
    // anything before its own data centre is taken back.
    @Test
    void workersOfEvacuatedDataCentresAreNoCandidates() {
        publish(entry("a", 1, false));
        publish(in("b", 2, "dc-b"));
        workers.evacuated("dc-b");
        workers.evacuated("dc-c");
        publish(in("c", 3, "dc-c"));
        publish(in("b", 2, "dc-b"));
        assertThat(ids()).containsExactly("a");
        workers.takenBack("dc-b", SECOND);
        assertThat(ids()).containsExactly("a", "b");
        workers.evacuated("dc-b");
        assertThat(ids()).containsExactly("a");
        workers.takenBack("dc-c", SECOND);
        assertThat(ids()).containsExactly("a", "c");
    }

    @Test
    void whatPeersHaveInFlightIsAddedUntilTheyGoSilent() {
        publish(entry("a", 1, false));
        told("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(2, 1, 30, 0, 0), SECOND);
        told("p2", PeerLoads.Scope.OWN, new PeerLoads.Load(3, 0, 10, 0, 0), SECOND);
        WorkerLoad load = workers.candidates("u", Set.of(), SECOND).get(0);
        assertThat(load.inFlight()).isEqualTo(5);
        assertThat(load.interactiveStreams()).isEqualTo(1);
        assertThat(load.prefillMillis()).isEqualTo(40);
        workers.peerLoad("p1", PeerLoads.Scope.OWN, Map.of(), 4 * SECOND);
        assertThat(workers.candidates("u", Set.of(), 4 * SECOND).get(0).inFlight())
                .isZero();
    }

    // All processes of a data centre are cut off at once and none tells anything any more. What they had in flight must
    // not stand for ever, or their workers would get nothing.
    @Test
    void whatSilentPeersSaidRunsOutThoughNobodyTellsAnything() {
        publish(entry("a", 1, false));
        told("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(2, 1, 30, 0, 0), SECOND);
        assertThat(workers.candidates("u", Set.of(), SECOND).get(0).inFlight()).isEqualTo(2);
        assertThat(workers.candidates("u", Set.of(), 4 * SECOND).get(0).inFlight())
                .isZero();
    }

    // A collector gives each reporter the sum of all others. If a reporter's own requests were in it, each of them
    // would
    // count twice, and a process would flee from the workers that it uses itself.
    @Test
    void aCollectorTellsEachReporterOfAllOthersAndItself() {
        publish(entry("a", 1, false));
        workers.place(workers.find("a").orElseThrow(), true, 50, SECOND);
        told("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(2, 0, 10, 0, 0), SECOND);
        told("p2", PeerLoads.Scope.OWN, new PeerLoads.Load(4, 0, 20, 0, 0), SECOND);
        told("c2", PeerLoads.Scope.GATHERED, new PeerLoads.Load(8, 0, 40, 0, 0), SECOND);
        assertThat(workers.othersOf("p1", SECOND).get("a".hashCode())).isEqualTo(new PeerLoads.Load(13, 1, 110, 0, 0));
        assertThat(workers.gathered(SECOND).get("a".hashCode())).isEqualTo(new PeerLoads.Load(7, 1, 80, 0, 0));
    }

    // A collector is killed and another one takes its place. Both sums hold the same requests.
    @Test
    void theSumOfANewCollectorReplacesTheLastOnes() {
        publish(entry("a", 1, false));
        told("c1", PeerLoads.Scope.OTHERS, new PeerLoads.Load(9, 0, 0, 0, 0), SECOND);
        told("c2", PeerLoads.Scope.OTHERS, new PeerLoads.Load(8, 0, 0, 0, 0), SECOND);
        assertThat(workers.candidates("u", Set.of(), SECOND).get(0).inFlight()).isEqualTo(8);
    }

    // A worker fails requests of many processes, each of which has sent it one. No process alone could know that it is
    // the worker; together they leave it out.
    @Test
    void aWorkerThatFailsForManyProcessesIsLeftOutByAll() {
        publishFour();
        told("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(0, 0, 0, 0, 2), SECOND);
        assertThat(suspects()).isEmpty();
        told("p2", PeerLoads.Scope.OWN, new PeerLoads.Load(0, 0, 0, 1, 1), SECOND);
        assertThat(suspects()).containsExactly("a");
        told("p3", PeerLoads.Scope.OWN, new PeerLoads.Load(0, 0, 0, 9, 0), SECOND);
        assertThat(suspects()).isEmpty();
    }

    // Half of the workers fail requests. The others could not carry all the load, so that nobody is left out.
    @Test
    void notManyWorkersAreLeftOutAtOnce() {
        publishFour();
        PeerLoads.Load failing = new PeerLoads.Load(0, 0, 0, 0, 9);
        Map<Integer, PeerLoads.Load> half = Map.of("a".hashCode(), failing, "b".hashCode(), failing);
        workers.peerLoad("p1", PeerLoads.Scope.OWN, half, SECOND);
        assertThat(suspects()).isEmpty();
    }

    @Test
    void aPlacementCountsOnceHoweverOftenItEnds() {
        publish(entry("a", 1, false));
        WorkerState worker = workers.find("a").orElseThrow();
        Placement placement = workers.place(worker, true, 50, SECOND);
        assertThat(workers.own(0)).containsEntry("a".hashCode(), new PeerLoads.Load(1, 1, 50, 0, 0));
        placement.recordFirstEvent();
        placement.recordFirstEvent();
        assertThat(workers.own(0)).containsEntry("a".hashCode(), new PeerLoads.Load(1, 1, 0, 0, 0));
        placement.end();
        placement.end();
        assertThat(workers.own(0)).isEmpty();
    }

    private void told(String peer, PeerLoads.Scope scope, PeerLoads.Load load, long nowNanos) {
        workers.peerLoad(peer, scope, Map.of("a".hashCode(), load), nowNanos);
    }

    private void publish(WorkerEntry entry) {
        workers.addOrUpdate(entry, SECOND);
    }

    private void publishFour() {
        int host = 1;
        for (String id : List.of("a", "b", "c", "d")) {
            publish(entry(id, host++, false));
        }
    }

    private List<String> suspects() {
        return workers.candidates("u", Set.of(), SECOND).stream()
                .filter(WorkerLoad::suspected)
                .map(WorkerLoad::id)
                .toList();
    }

    private List<String> ids() {
        return workers.candidates("u", Set.of(), 0).stream()
                .map(WorkerLoad::id)
                .sorted()
                .toList();
    }

    private static WorkerEntry in(String id, int host, String dataCentre) {
        return new WorkerEntry(id, 0, "u", "10.0.0." + host, 8000, dataCentre, 4, false, 0);
    }

    private static WorkerEntry started(String id, long startMillis, String upstream) {
        return new WorkerEntry(id, startMillis, upstream, "10.0.0.1", 8000, "dc", 4, false, 0);
    }

    private static WorkerEntry entry(String id, int host, boolean leaving) {
        return new WorkerEntry(id, 0, "u", "10.0.0." + host, 8000, "dc", 4, leaving, 0);
    }
}
