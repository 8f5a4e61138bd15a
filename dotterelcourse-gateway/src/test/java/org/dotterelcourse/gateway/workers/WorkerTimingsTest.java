package org.dotterelcourse.gateway.workers;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.policy.performance.TimingSums;
import org.dotterelcourse.policy.selection.WorkerLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class WorkerTimingsTest {
    private static final long SECOND = 1_000_000_000L;

    private final Workers workers = new Workers();
    private final WorkerTimings timings = new WorkerTimings(workers);

    WorkerTimingsTest() {
        for (int i = 0; i < 4; i++) {
            workers.addOrUpdate(entry("w" + i, 1), SECOND);
        }
    }

    @Test
    void workersAreEstimatedFromTheReportsOfAllPeers() {
        report("a", PeerLoads.Scope.OWN, sums(10, 200), SECOND);
        assertThat(slowness("w0", 2 * SECOND)).isEqualTo(1);
        for (int i = 0; i < 10; i++) {
            report("peer-" + i, PeerLoads.Scope.OWN, sums(10, 200), 2 * SECOND);
        }
        assertThat(slowness("w0", 3 * SECOND)).isGreaterThan(1.4);
        assertThat(slowness("w1", 3 * SECOND)).isLessThanOrEqualTo(1);
    }

    // A process with a faulty clock must not take a worker out of use for all others.
    @Test
    void implausibleReportsOfOneRouterHaveLittleInfluence() {
        for (int i = 0; i < 10; i++) {
            report("peer-" + i, PeerLoads.Scope.OWN, sums(5, 250), SECOND);
        }
        assertThat(slowness("w0", SECOND)).isEqualTo(1);
        Map<Integer, TimingSums> implausible = sums(1_000_000, 1e6);
        assertThat(timings.recordReport("faulty", PeerLoads.Scope.OWN, implausible, 12, 2 * SECOND))
                .isEqualTo(1);
        assertThat(slowness("w0", 3 * SECOND)).isBetween(1.0, 1.6);
        assertThat(slowness("w1", 3 * SECOND)).isEqualTo(1);
    }

    @Test
    void nothingIsInheritedByTheNextIncarnation() {
        report("collector", PeerLoads.Scope.OTHERS, sums(10, 3_000), SECOND);
        assertThat(slowness("w0", SECOND)).isGreaterThan(1.4);
        workers.addOrUpdate(entry("w0", 2), 2 * SECOND);
        assertThat(slowness("w0", 2 * SECOND)).isEqualTo(1);
        report("collector", PeerLoads.Scope.OTHERS, sums(10, 3_000), 3 * SECOND);
        assertThat(slowness("w0", 4 * SECOND)).isEqualTo(1);
    }

    // Without a collector, its last sums would otherwise be in force for ever.
    @Test
    void estimatesDecayToNominalAfterTheLossOfTheCollector() {
        report("collector", PeerLoads.Scope.OTHERS, sums(10, 3_000), SECOND);
        assertThat(slowness("w0", SECOND)).isGreaterThan(1.4);
        assertThat(slowness("w0", 12 * SECOND)).isBetween(1.0, 1.6);
        assertThat(slowness("w0", 17 * SECOND)).isEqualTo(1);
        assertThat(timings.sums(PeerLoads.Scope.GATHERED, "", 17 * SECOND)).isEmpty();
    }

    // The sums of a new collector cover the same measurements as those of its predecessor.
    @Test
    void theSumsOfANewCollectorReplaceThoseOfItsPredecessor() {
        report("collector", PeerLoads.Scope.OTHERS, sums(10, 1_000), SECOND);
        report("successor", PeerLoads.Scope.OTHERS, sums(10, 1_000), SECOND);
        assertThat(timings.sums(PeerLoads.Scope.OTHERS, "x", SECOND)
                        .get(incarnation("w1"))
                        .stepTokens())
                .isCloseTo(1_000, within(1e-6));
    }

    @Test
    void theSumsForAReceiverExcludeItsOwn() {
        report("reporter", PeerLoads.Scope.OWN, sums(10, 100), SECOND);
        report("other", PeerLoads.Scope.GATHERED, sums(10, 200), SECOND);
        assertThat(tokens(PeerLoads.Scope.OTHERS, "reporter")).isCloseTo(200, within(1e-6));
        assertThat(tokens(PeerLoads.Scope.OTHERS, "other")).isCloseTo(100, within(1e-6));
        assertThat(tokens(PeerLoads.Scope.GATHERED, "")).isCloseTo(100, within(1e-6));
        assertThat(timings.sums(PeerLoads.Scope.OWN, "", SECOND)).isEmpty();
    }

    @Test
    void ownMeasurementsOfStreamsAndCallsAreSummedUp() {
        Placement stream = workers.place(workers.find("w0").orElseThrow(), true, 50, SECOND);
        long now = SECOND + SECOND / 10;
        for (int i = 0; i < 10; i++) {
            stream.recordEvent(6, now);
            now += 30_000_000;
        }
        stream.recordStreamEnd(6, now);
        Placement call = workers.place(workers.find("w1").orElseThrow(), false, 0, now);
        call.recordPlainResponse(now + 75_000_000);
        Map<Integer, TimingSums> own = timings.sums(PeerLoads.Scope.OWN, "", now);
        assertThat(own.get(incarnation("w0")).meanStepMillis()).isCloseTo(5, within(1e-6));
        assertThat(own.get(incarnation("w0")).stepTokens()).isCloseTo(54, within(0.1));
        assertThat(own.get(incarnation("w0")).responseRatio()).isCloseTo(100 / 60.0, within(1e-6));
        assertThat(own.get(incarnation("w1")).responseRatio()).isCloseTo(1.5, within(1e-6));
    }

    // The time that a call waits for a slot says nothing about the worker; equal workers appeared 20 % slower under
    // load.
    @Test
    void callsAtFullWorkersAreNotMeasured() {
        WorkerState worker = workers.find("w0").orElseThrow();
        Placement first = workers.place(worker, false, 0, SECOND);
        for (int i = 0; i < 32; i++) {
            workers.place(worker, false, 0, SECOND);
        }
        workers.place(worker, false, 0, SECOND).recordPlainResponse(2 * SECOND);
        first.recordPlainResponse(2 * SECOND);
        assertThat(timings.sums(PeerLoads.Scope.OWN, "", 2 * SECOND)).isEmpty();
    }

    @Test
    void aWorkerThatBecomesSlowIsReportedOnce() {
        report("collector", PeerLoads.Scope.OTHERS, sums(25, 3_000), SECOND);
        assertThat(timings.updateIfDue(SECOND)).singleElement().satisfies(change -> {
            assertThat(change.worker()).isEqualTo("w0");
            assertThat(change.after()).startsWith("slow, ");
        });
        assertThat(timings.updateIfDue(2 * SECOND)).isEmpty();
        assertThat(timings.slowWorkers()).isEqualTo(1);
        assertThat(timings.estimatedWorkers()).isEqualTo(4);
        assertThat(timings.updateIfDue(30 * SECOND))
                .singleElement()
                .satisfies(change -> assertThat(change.before()).isEqualTo("slow"));
        assertThat(timings.slowWorkers()).isZero();
    }

    @Test
    void workersStayNominalWhileEstimatesAreDisabled() {
        timings.setEnabled(false);
        report("collector", PeerLoads.Scope.OTHERS, sums(10, 3_000), SECOND);
        assertThat(slowness("w0", SECOND)).isEqualTo(1);
    }

    private double tokens(PeerLoads.Scope scope, String receiver) {
        return timings.sums(scope, receiver, SECOND).get(incarnation("w1")).stepTokens();
    }

    private void report(String peer, PeerLoads.Scope scope, Map<Integer, TimingSums> rows, long nowNanos) {
        assertThat(timings.recordReport(peer, scope, rows, 12, nowNanos)).isZero();
    }

    /** Rows of all workers, of which the first takes a given time for a step and the others 5 ms. */
    private Map<Integer, TimingSums> sums(double stepMillis, double tokens) {
        Map<Integer, TimingSums> rows = new HashMap<>();
        for (int i = 0; i < 4; i++) {
            double step = i == 0 ? stepMillis : 5;
            rows.put(entry("w" + i, 1).incarnation(), new TimingSums(step * tokens, tokens, 0, 0, 0, 0));
        }
        return rows;
    }

    private int incarnation(String id) {
        return workers.find(id).orElseThrow().incarnation();
    }

    private double slowness(String id, long nowNanos) {
        timings.updateIfDue(nowNanos);
        return workers.candidates("engines", Set.of(), nowNanos).stream()
                .filter(each -> each.id().equals(id))
                .map(WorkerLoad::performance)
                .findFirst()
                .orElseThrow()
                .slowness();
    }

    private static WorkerEntry entry(String id, long startMillis) {
        return new WorkerEntry(id, startMillis, "engines", "10.0.0.1", 1 + id.hashCode(), "dc", 32, false, 0, "");
    }
}
