package org.dotterelcourse.policy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CellPlacementTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final ClassTerms TERMS = new ClassTerms("coupon", 2, 0, 10, false, SECOND, SECOND, 100);
    private static final Completion FAILED = new Completion(Completion.End.UNREACHABLE, -1, 1, 0);
    private static final Completion ANSWERED = new Completion(Completion.End.ANSWERED, 1, 2, 1);

    private final CellPlacement placement =
            new CellPlacement(CellSettings.builder().build());
    private long lastGrant;

    @BeforeEach
    void publishSixWorkers() {
        placement.updateWorkers(workers(4), 0);
    }

    @Test
    void keepsAPrefixOnOneWorkerUntilThatWorkerIsTooBusy() {
        Set<String> workersUnderLightLoad = new HashSet<>();
        for (int i = 0; i < 5; i++) {
            RunningRequest running = place(request(7, 2), 0);
            workersUnderLightLoad.add(running.worker());
            placement.recordRelease(running, ANSWERED, 0);
        }
        Set<String> workersUnderHeavyLoad = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            workersUnderHeavyLoad.add(place(request(7, 2), 0).worker());
        }

        assertThat(workersUnderLightLoad).hasSize(1);
        assertThat(workersUnderHeavyLoad).hasSizeGreaterThan(3);
    }

    @Test
    void ejectsAFailingWorkerAndReadmitsItAfterSuccessfulProbes() {
        // Guards against a crashed worker that attracts requests: each of them fails at once, so that the worker
        // always seems idle, and callers see errors although the rest of the cell is healthy.
        Set<String> healthy = ejectOneWorker(0);
        long later = 6 * SECOND;

        assertThat(healthy).hasSize(5);
        RunningRequest probe = place(request(0, 2), later);
        assertThat(healthy).doesNotContain(probe.worker());
        assertThat(place(request(0, 2), later).worker()).isNotEqualTo(probe.worker());
        placement.recordRelease(probe, ANSWERED, later);
        placement.recordRelease(place(request(0, 2), later), ANSWERED, later);
        assertThat(placement.ejectedWorkers()).isEmpty();
    }

    @Test
    void doesNotProbeWithRequestsOfTheHighestTierOrNonIdempotentOnes() {
        // A probe may fail. It must not make an urgent request miss its target, nor leave the outcome of a request that
        // must run only once, such as a payout, unknown.
        Set<String> healthy = ejectOneWorker(0);
        long later = 6 * SECOND;
        ClassTerms highestTier = new ClassTerms("teller", 1, 0, 10, true, SECOND, SECOND, 100);

        CellRequest nonIdempotent = new CellRequest("once", TERMS, "bank", 0, 0, 0, false, 0, Set.of());
        assertThat(healthy)
                .contains(place(new PlacementRequest(nonIdempotent, 0, 1, false), later)
                        .worker());
        CellRequest urgent = new CellRequest("urgent", highestTier, "bank", 0, 0, 0, true, 0, Set.of());
        assertThat(healthy)
                .contains(
                        place(new PlacementRequest(urgent, 0, 1, false), later).worker());
    }

    @Test
    void ejectsNoMoreThanAThirdOfACell() {
        // Guards against ejecting the whole cell: when this process's own network fails, all workers seem to fail, and
        // with all of them ejected no request could be served once the network is back.
        for (int i = 0; i < 100; i++) {
            placement
                    .place(request(0, 2), 0)
                    .ifPresent(worker -> placement.recordRelease(grant(request(0, 2), worker, 0), FAILED, 0));
        }

        assertThat(placement.ejectedWorkers()).hasSize(2);
    }

    @Test
    void givesASlowWorkerLessWork() {
        // One worker generates tokens at a third of the others' rate. It holds each request three times as long, and
        // without a weight it would end up with most of the cell's requests, all answered slowly.
        Map<String, Integer> counts = new HashMap<>();
        stream(20 * MILLI, 60 * MILLI);
        for (int i = 0; i < 21; i++) {
            counts.merge(place(request(0, 2), 4 * SECOND).worker(), 1, Integer::sum);
        }

        assertThat(placement.ejectedWorkers()).isEmpty();
        assertThat(counts.get("llm-1")).isEqualTo(1);
    }

    @Test
    void ejectsAWorkerThatStopsRespondingWhileOthersRespond() {
        // Guards against a worker that stops without closing its connections: until these time out, no request fails,
        // and the worker would continue to get requests.
        stream(20 * MILLI, 0);

        assertThat(placement.ejectedWorkers()).containsExactly("llm-1");
    }

    @Test
    void subtractsForeignRequestsFromTheCapacityWhileTheLoadReportIsFresh() {
        placement.advance(0);
        placement.recordReport(new WorkerReport("llm-1", 0, 3, 1), 5 * SECOND);

        assertThat(placeAndCollectWorkers(20, 5 * SECOND)).doesNotContain("llm-1");
        assertThat(placement.hasCapacity(14 * SECOND)).isFalse();
        assertThat(placement.hasCapacity(16 * SECOND)).isTrue();
    }

    @Test
    void doesNotCountItsOwnPastGrantsInALateReportAsForeign() {
        // Reports are five seconds late. If one were taken for the current load, a worker that was full five seconds
        // ago would get no requests and stay idle now.
        List<RunningRequest> all = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            all.add(place(request(0, 2), 0));
        }
        placement.advance(0);
        for (RunningRequest running : all) {
            placement.recordRelease(running, ANSWERED, SECOND);
        }
        placement.recordReport(new WorkerReport("llm-1", 0, 4, 0), 5 * SECOND);

        assertThat(placeAndCollectWorkers(24, 5 * SECOND)).contains("llm-1").hasSize(24);
    }

    @Test
    void limitsTheLongRequestsOfAWorker() {
        int placed = 0;
        PlacementRequest longRequest = new PlacementRequest(cellRequest(0, 2), 0, 1_000, true);
        while (placement.place(longRequest, 0).isPresent()) {
            place(longRequest, 0);
            placed++;
        }

        assertThat(placed).isEqualTo(12);
        assertThat(placement.place(request(0, 2), 0)).isPresent();
    }

    @Test
    void countsAnAdoptedGrantOnAWorkerThatIsPublishedLater() {
        CellPlacement fresh = new CellPlacement(CellSettings.builder().build());
        grant(fresh, request(0, 2), "llm-1", 0);
        fresh.updateWorkers(List.of(new WorkerInfo("llm-1", "ruwi-hall", 1, false)), 1);

        assertThat(fresh.hasCapacity(1)).isFalse();
    }

    private Set<String> ejectOneWorker(long nowNanos) {
        String crashed = placement.place(request(0, 2), nowNanos).orElseThrow();
        for (int i = 0; i < 3; i++) {
            placement.recordRelease(grant(request(0, 2), crashed, nowNanos), FAILED, nowNanos);
        }
        assertThat(placement.ejectedWorkers()).containsExactly(crashed);
        Set<String> healthy = new HashSet<>();
        for (WorkerInfo worker : workers(4)) {
            healthy.add(worker.name());
        }
        healthy.remove(crashed);
        return healthy;
    }

    /** Streams for four seconds on every worker, with a token per given interval; an interval of 0 yields no tokens. */
    private void stream(long tokenIntervalNanos, long firstWorkerTokenIntervalNanos) {
        List<RunningRequest> all = new ArrayList<>();
        for (WorkerInfo worker : workers(4)) {
            all.add(grant(request(0, 2), worker.name(), 0));
        }
        for (long nowNanos = 0; nowNanos <= 4 * SECOND; nowNanos += 20 * MILLI) {
            for (RunningRequest running : all) {
                long interval = running.worker().equals("llm-1") ? firstWorkerTokenIntervalNanos : tokenIntervalNanos;
                if (interval > 0) {
                    placement.recordProgress(running, (int) (nowNanos / interval), false, nowNanos);
                }
            }
            placement.advance(nowNanos);
        }
        for (RunningRequest running : all) {
            placement.recordRelease(running, new Completion(Completion.End.CANCELLED, -1, 1, 0), 4 * SECOND);
        }
    }

    private List<String> placeAndCollectWorkers(int count, long nowNanos) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(place(request(0, 2), nowNanos).worker());
        }
        return names;
    }

    private RunningRequest place(PlacementRequest request, long nowNanos) {
        return grant(request, placement.place(request, nowNanos).orElseThrow(), nowNanos);
    }

    private RunningRequest grant(PlacementRequest request, String worker, long nowNanos) {
        return grant(placement, request, worker, nowNanos);
    }

    private RunningRequest grant(CellPlacement at, PlacementRequest request, String worker, long nowNanos) {
        lastGrant++;
        RunningRequest running = new RunningRequest(lastGrant, request, worker, false, nowNanos);
        at.recordGrant(running, nowNanos);
        return running;
    }

    private static PlacementRequest request(long prefix, int tokens) {
        return new PlacementRequest(cellRequest(prefix, tokens), 0, tokens, false);
    }

    private static CellRequest cellRequest(long prefix, int input) {
        return new CellRequest("a", TERMS, "bank", 0, input, prefix, true, 0, Set.of());
    }

    private static List<WorkerInfo> workers(int concurrency) {
        List<WorkerInfo> all = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            all.add(new WorkerInfo("llm-" + i, "ruwi-hall", concurrency, false));
        }
        return all;
    }
}
