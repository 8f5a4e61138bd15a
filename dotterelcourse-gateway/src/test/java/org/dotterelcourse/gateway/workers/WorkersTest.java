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

    // A worker crashes and restarts under a new name. Its old entry expires seconds later; until then, the new worker
    // rejects every request that is meant for the old name.
    @Test
    void aNewWorkerReplacesTheEarlierOneAtItsAddress() {
        publish(entry("old", 1, false));
        publish(entry("new", 1, false));
        assertThat(candidateIds()).containsExactly("new");
        publish(entry("old", 1, true));
        assertThat(candidateIds()).containsExactly("new");
        workers.remove("old", 0);
        assertThat(candidateIds()).containsExactly("new");
    }

    // Two workers publish the same address, and the entry of the older one arrives last. All requests for the older one
    // would be rejected.
    @Test
    void ofTwoWorkersAtAnAddressOnlyTheOneThatStartedLastIsACandidate() {
        publish(entryStartedAt("new", 2_000, "u"));
        publish(entryStartedAt("old", 1_000, "u"));
        assertThat(candidateIds()).containsExactly("new");
    }

    // Another program publishes an entry with a worker's address and an upstream that is not configured. The worker
    // still runs and must keep receiving requests.
    @Test
    void anEntryOfAnUnknownUpstreamDoesNotReplaceAWorker() {
        workers.configureUpstreams("u"::equals, upstream -> ColdStart.none());
        publish(entryStartedAt("a", 1_000, "u"));
        publish(entryStartedAt("stray", 2_000, "unknown"));
        assertThat(candidateIds()).containsExactly("a");
        workers.configureUpstreams(upstream -> true, upstream -> ColdStart.none());
        assertThat(candidateIds()).isEmpty();
    }

    // A worker crashes and restarts immediately under the same name. A process that still counted the requests in
    // flight and the failures of the earlier start would avoid an idle worker for seconds.
    @Test
    void aRestartDiscardsTheLoadAndFailuresOfAWorker() {
        publish(entryStartedAt("a", 1_000, "u"));
        WorkerState before = workers.find("a").orElseThrow();
        Placement placement = workers.place(before, true, 50, SECOND);
        placement.recordConnectFailure(SECOND);
        int incarnation = before.incarnation();
        workers.recordPeerLoads(
                "p1", PeerLoads.Scope.OWN, Map.of(incarnation, new PeerLoads.Load(2, 1, 30, 0, 9)), SECOND);
        WorkerLoad load = workers.candidates("u", Set.of(), SECOND).get(0);
        assertThat(load.inFlight()).isEqualTo(3);
        assertThat(load.suspected()).isTrue();

        publish(entryStartedAt("a", 2_000, "u"));
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

    // An entry of a worker's earlier start arrives late, when the worker has restarted. It must not replace the new
    // state.
    @Test
    void aLateEntryOfAnEarlierStartIsIgnored() {
        publish(entryStartedAt("a", 2_000, "u"));
        WorkerState current = workers.find("a").orElseThrow();
        publish(new WorkerEntry("a", 1_000, "u", "10.0.0.1", 8000, "dc", 4, true, 0, ""));
        assertThat(workers.find("a")).containsSame(current);
        assertThat(candidateIds()).containsExactly("a");
    }

    @Test
    void aLeavingWorkerIsNotACandidate() {
        publish(entry("a", 1, false));
        publish(entry("b", 2, true));
        assertThat(candidateIds()).containsExactly("a");
    }

    // Operators evacuate two data centres, one after the other, while workers start there. No worker may receive
    // requests before the evacuation of its own data centre ends.
    @Test
    void workersOfEvacuatedDataCentresAreNotCandidates() {
        publish(entry("a", 1, false));
        publish(entryIn("b", 2, "dc-b"));
        workers.evacuate("dc-b");
        workers.evacuate("dc-c");
        publish(entryIn("c", 3, "dc-c"));
        publish(entryIn("b", 2, "dc-b"));
        assertThat(candidateIds()).containsExactly("a");
        workers.endEvacuation("dc-b", SECOND);
        assertThat(candidateIds()).containsExactly("a", "b");
        workers.evacuate("dc-b");
        assertThat(candidateIds()).containsExactly("a");
        workers.endEvacuation("dc-c", SECOND);
        assertThat(candidateIds()).containsExactly("a", "c");
    }

    @Test
    void loadsOfPeersAreAddedUntilTheirReportsExpire() {
        publish(entry("a", 1, false));
        recordLoad("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(2, 1, 30, 0, 0), SECOND);
        recordLoad("p2", PeerLoads.Scope.OWN, new PeerLoads.Load(3, 0, 10, 0, 0), SECOND);
        WorkerLoad load = workers.candidates("u", Set.of(), SECOND).get(0);
        assertThat(load.inFlight()).isEqualTo(5);
        assertThat(load.interactiveStreams()).isEqualTo(1);
        assertThat(load.prefillMillis()).isEqualTo(40);
        workers.recordPeerLoads("p1", PeerLoads.Scope.OWN, Map.of(), 4 * SECOND);
        assertThat(workers.candidates("u", Set.of(), 4 * SECOND).get(0).inFlight())
                .isZero();
    }

    // All processes of a data centre are disconnected at once, so that no report triggers a new sum. If their loads
    // were kept forever, their workers would receive no requests.
    @Test
    void reportsOfSilentPeersExpireWithoutNewReports() {
        publish(entry("a", 1, false));
        recordLoad("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(2, 1, 30, 0, 0), SECOND);
        assertThat(workers.candidates("u", Set.of(), SECOND).get(0).inFlight()).isEqualTo(2);
        assertThat(workers.candidates("u", Set.of(), 4 * SECOND).get(0).inFlight())
                .isZero();
    }

    // A collector sends each reporter the sum of all other processes. If the reporter's own requests were included,
    // they would count twice, and the reporter would avoid the workers that it uses itself.
    @Test
    void aCollectorReportsToEachReporterTheSumOfAllOtherProcesses() {
        publish(entry("a", 1, false));
        workers.place(workers.find("a").orElseThrow(), true, 50, SECOND);
        recordLoad("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(2, 0, 10, 0, 0), SECOND);
        recordLoad("p2", PeerLoads.Scope.OWN, new PeerLoads.Load(4, 0, 20, 0, 0), SECOND);
        recordLoad("c2", PeerLoads.Scope.GATHERED, new PeerLoads.Load(8, 0, 40, 0, 0), SECOND);
        assertThat(workers.collectedLoads().excluding("p1", SECOND).get("a".hashCode()))
                .isEqualTo(new PeerLoads.Load(13, 1, 110, 0, 0));
        assertThat(workers.aggregatedLoads(SECOND).get("a".hashCode())).isEqualTo(new PeerLoads.Load(7, 1, 80, 0, 0));
    }

    // A collector is killed and another one replaces it. The sums of both cover the same requests.
    @Test
    void theSumOfANewCollectorReplacesThatOfItsPredecessor() {
        publish(entry("a", 1, false));
        recordLoad("c1", PeerLoads.Scope.OTHERS, new PeerLoads.Load(9, 0, 0, 0, 0), SECOND);
        recordLoad("c2", PeerLoads.Scope.OTHERS, new PeerLoads.Load(8, 0, 0, 0, 0), SECOND);
        assertThat(workers.candidates("u", Set.of(), SECOND).get(0).inFlight()).isEqualTo(8);
    }

    // A worker fails one request of each of many processes. No process alone can tell that the worker is the cause, but
    // their outcomes together make it suspected.
    @Test
    void aWorkerThatFailsForManyProcessesIsSuspected() {
        publishFourWorkers();
        recordLoad("p1", PeerLoads.Scope.OWN, new PeerLoads.Load(0, 0, 0, 0, 2), SECOND);
        assertThat(suspectedIds()).isEmpty();
        recordLoad("p2", PeerLoads.Scope.OWN, new PeerLoads.Load(0, 0, 0, 1, 1), SECOND);
        assertThat(suspectedIds()).containsExactly("a");
        recordLoad("p3", PeerLoads.Scope.OWN, new PeerLoads.Load(0, 0, 0, 9, 0), SECOND);
        assertThat(suspectedIds()).isEmpty();
    }

    // Half of the workers fail requests. The others could not carry all the load, so no worker is suspected.
    @Test
    void noWorkerIsSuspectedIfManyFail() {
        publishFourWorkers();
        PeerLoads.Load failing = new PeerLoads.Load(0, 0, 0, 0, 9);
        Map<Integer, PeerLoads.Load> half = Map.of("a".hashCode(), failing, "b".hashCode(), failing);
        workers.recordPeerLoads("p1", PeerLoads.Scope.OWN, half, SECOND);
        assertThat(suspectedIds()).isEmpty();
    }

    @Test
    void aPlacementIsCountedOnceHoweverOftenItEnds() {
        publish(entry("a", 1, false));
        WorkerState worker = workers.find("a").orElseThrow();
        Placement placement = workers.place(worker, true, 50, SECOND);
        assertThat(workers.localLoads(0)).containsEntry("a".hashCode(), new PeerLoads.Load(1, 1, 50, 0, 0));
        placement.recordFirstEvent();
        placement.recordFirstEvent();
        assertThat(workers.localLoads(0)).containsEntry("a".hashCode(), new PeerLoads.Load(1, 1, 0, 0, 0));
        placement.end();
        placement.end();
        assertThat(workers.localLoads(0)).isEmpty();
    }

    private void recordLoad(String peer, PeerLoads.Scope scope, PeerLoads.Load load, long nowNanos) {
        workers.recordPeerLoads(peer, scope, Map.of("a".hashCode(), load), nowNanos);
    }

    private void publish(WorkerEntry entry) {
        workers.addOrUpdate(entry, SECOND);
    }

    private void publishFourWorkers() {
        int host = 1;
        for (String id : List.of("a", "b", "c", "d")) {
            publish(entry(id, host++, false));
        }
    }

    private List<String> suspectedIds() {
        return workers.candidates("u", Set.of(), SECOND).stream()
                .filter(WorkerLoad::suspected)
                .map(WorkerLoad::id)
                .toList();
    }

    private List<String> candidateIds() {
        return workers.candidates("u", Set.of(), 0).stream()
                .map(WorkerLoad::id)
                .sorted()
                .toList();
    }

    private static WorkerEntry entryIn(String id, int host, String dataCentre) {
        return new WorkerEntry(id, 0, "u", "10.0.0." + host, 8000, dataCentre, 4, false, 0, "");
    }

    private static WorkerEntry entryStartedAt(String id, long startMillis, String upstream) {
        return new WorkerEntry(id, startMillis, upstream, "10.0.0.1", 8000, "dc", 4, false, 0, "");
    }

    private static WorkerEntry entry(String id, int host, boolean leaving) {
        return new WorkerEntry(id, 0, "u", "10.0.0." + host, 8000, "dc", 4, leaving, 0, "");
    }
}
