package org.dotterelcourse.gateway.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import org.dotterelcourse.policy.rate.LimitNotice;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BrittleWorkersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int SLOTS = 6;

    private final Workers workers = new Workers();

    // A worker that is back under a new id got requests from all processes at once, and fell over again.
    @Test
    void aWorkerThatHasNotAnsweredIsTakenForBrittleWhileOthersOfItsUpstreamAre() {
        WorkerEntry first = add("a", "llm");
        state(first, 3);
        assertThat(workers.brittle().contains(add("b", "llm"), SECOND)).isTrue();
        assertThat(workers.brittle().contains(add("c", "plain"), SECOND)).isFalse();
        workers.remove("a", 2 * SECOND);
        assertThat(workers.brittle().contains(add("d", "llm"), 2 * SECOND)).isTrue();
    }

    @Test
    void aWorkerThatHasAnsweredIsBrittleByItsOwnStatementOnly() {
        state(add("a", "llm"), 3);
        WorkerEntry other = add("b", "llm");
        workers.place(workers.find("b").orElseThrow(), false, 0, SECOND).recordSuccess(SECOND);
        assertThat(workers.brittle().contains(other, SECOND)).isFalse();
    }

    @Test
    void theStatementOfAnUpstreamEndsWithThatOfItsLastBrittleWorker() {
        WorkerEntry first = add("a", "llm");
        WorkerEntry second = add("b", "llm");
        state(first, 3);
        state(second, 3);
        end(first);
        assertThat(workers.brittle().contains(add("c", "llm"), 3 * SECOND)).isTrue();
        end(second);
        assertThat(workers.brittle().contains(add("d", "llm"), 3 * SECOND)).isFalse();
    }

    @Test
    void theOwnPartsOfAllProcessesAddUpToTheSlots() {
        for (int count : new int[] {1, 3, 6, 59}) {
            int sum = 0;
            for (int i = 0; i < count; i++) {
                sum += ownPart("p" + i, count);
            }
            assertThat(sum).as("parts of %d processes", count).isEqualTo(SLOTS);
        }
    }

    @Test
    void anOwnerThatHasLostMostProcessesGrantsOnlyItsPart() {
        add("a", "llm");
        workers.updateFleet("p0", names(12, "p0"), 0);
        assertThat(workers.brittle().slotBounds("a", 10 * SECOND).slots()).isEqualTo(SLOTS);
        workers.updateFleet("p0", names(4, "p0"), 100 * SECOND);
        assertThat(workers.brittle().slotBounds("a", 101 * SECOND).slots()).isEqualTo(SLOTS * 4 / 12);
        assertThat(workers.brittle().slotBounds("a", 140 * SECOND).slots()).isEqualTo(SLOTS);
    }

    @Test
    void aProcessThatStillDiscoversTheFleetGrantsNothing() {
        add("a", "llm");
        workers.updateFleet("p0", names(12, "p0"), 0);
        assertThat(workers.brittle().slotBounds("a", SECOND).slots()).isZero();
    }

    @Test
    void reportedRequestsThatHaveAskedForASlotAreNotCountedTwice() {
        WorkerEntry entry = add("a", "llm");
        workers.updateFleet("p0", names(3, "p0"), 0);
        workers.recordPeerLoads(
                "p1",
                PeerLoads.Scope.OWN,
                Map.of(entry.incarnation(), new PeerLoads.Load(5, 0, 0, 0, 0, 3)),
                9 * SECOND);
        Placement asking = workers.place(workers.find("a").orElseThrow(), false, 0, 9 * SECOND);
        asking.beginAsking();
        workers.place(workers.find("a").orElseThrow(), false, 0, 9 * SECOND);
        assertThat(workers.brittle().slotBounds("a", 9 * SECOND).unaccounted()).isEqualTo(3);
        asking.end();
        assertThat(workers.brittle().slotBounds("a", 9 * SECOND).unaccounted()).isEqualTo(3);
    }

    private static int ownPart(String self, int count) {
        Workers own = new Workers();
        own.addOrUpdate(entry("a", "llm"), 0);
        own.updateFleet(self, names(count, self), 0);
        return own.brittle().ownSlotBounds("a", 10 * SECOND).slots();
    }

    private static List<String> names(int count, String self) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("p" + i);
        }
        names.remove(self);
        return names;
    }

    private WorkerEntry add(String id, String upstream) {
        WorkerEntry entry = entry(id, upstream);
        workers.addOrUpdate(entry, SECOND);
        return entry;
    }

    private static WorkerEntry entry(String id, String upstream) {
        return new WorkerEntry(id, 0, upstream, "10.0.0.1", 80, "dc", SLOTS, false, 0, "v1");
    }

    private void state(WorkerEntry worker, double maxRejections) {
        workers.brittle()
                .statements()
                .updateFromPeer(new LimitNotice(worker.incarnation(), OptionalDouble.of(maxRejections), 0), SECOND);
        workers.brittle().recordUpstream(worker.upstream(), OptionalDouble.of(maxRejections), SECOND);
    }

    private void end(WorkerEntry worker) {
        workers.brittle().statements().updateFromWorker(worker.incarnation(), OptionalDouble.empty(), 3 * SECOND);
        workers.brittle().recordUpstream(worker.upstream(), OptionalDouble.empty(), 3 * SECOND);
    }
}
