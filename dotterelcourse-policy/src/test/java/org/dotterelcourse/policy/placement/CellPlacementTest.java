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
        placement.workers(workers(4), 0);
    }

    @Test
    void keepsAPrefixAtOneWorkerUntilThatIsTooBusy() {
        Set<String> light = new HashSet<>();
        for (int i = 0; i < 5; i++) {
            Running running = place(candidate(7, 2), 0);
            light.add(running.worker());
            placement.released(running, ANSWERED, 0);
        }
        Set<String> heavy = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            heavy.add(place(candidate(7, 2), 0).worker());
        }

        assertThat(light).hasSize(1);
        assertThat(heavy).hasSizeGreaterThan(3);
    }

    @Test
    void ejectsAWorkerThatFailsAndTakesItBackByProbes() {
        // A worker has crashed. What it is given fails at once, so that it always looks free and draws more and more
        // work; callers see errors although the rest of the cell is well.
        Set<String> rest = ejectOne(0);
        long later = 6 * SECOND;

        assertThat(rest).hasSize(5);
        Running probe = place(candidate(0, 2), later);
        assertThat(rest).doesNotContain(probe.worker());
        assertThat(place(candidate(0, 2), later).worker()).isNotEqualTo(probe.worker());
        placement.released(probe, ANSWERED, later);
        placement.released(place(candidate(0, 2), later), ANSWERED, later);
        assertThat(placement.ejected()).isEmpty();
    }

    @Test
    void doesNotProbeWithTheHighestTierOrWithWhatMayRunOnlyOnce() {
        // A probe may fail. It should cost neither a teller's target nor a payout whose outcome nobody knows.
        Set<String> rest = ejectOne(0);
        long later = 6 * SECOND;
        ClassTerms top = new ClassTerms("teller", 1, 0, 10, true, SECOND, SECOND, 100);

        CellRequest once = new CellRequest("once", TERMS, "bank", 0, 0, 0, false, 0, Set.of());
        assertThat(rest).contains(place(new Candidate(once, 0, 1, false), later).worker());
        CellRequest urgent = new CellRequest("urgent", top, "bank", 0, 0, 0, true, 0, Set.of());
        assertThat(rest)
                .contains(place(new Candidate(urgent, 0, 1, false), later).worker());
    }

    @Test
    void ejectsNoMoreThanAThirdOfACell() {
        // Every worker seems to fail, because the network of this process does. With all of them ejected nothing would
        // be
        // served when it is back.
        for (int i = 0; i < 100; i++) {
            placement
                    .place(candidate(0, 2), 0)
                    .ifPresent(worker -> placement.released(grant(candidate(0, 2), worker, 0), FAILED, 0));
        }

        assertThat(placement.ejected()).hasSize(2);
    }

    @Test
    void givesASlowWorkerLessWork() {
        // One worker steps at a third of the others' pace. It holds what it has three times as long, and so would end
        // up
        // with most of the cell's slow answers.
        Map<String, Integer> counts = new HashMap<>();
        stream(20 * MILLI, 60 * MILLI);
        for (int i = 0; i < 21; i++) {
            counts.merge(place(candidate(0, 2), 4 * SECOND).worker(), 1, Integer::sum);
        }

        assertThat(placement.ejected()).isEmpty();
        assertThat(counts.get("llm-1")).isEqualTo(1);
    }

    @Test
    void ejectsAWorkerThatFallsSilentWhileOthersAnswer() {
        // A worker stops without closing its connections. Until they time out nothing fails, and it goes on taking
        // work.
        stream(20 * MILLI, 0);

        assertThat(placement.ejected()).containsExactly("llm-1");
    }

    @Test
    void takesAwayTheRoomThatOthersUseAsLongAsTheReportIsFresh() {
        placement.advance(0);
        placement.report(new WorkerReport("llm-1", 0, 3, 1), 5 * SECOND);

        assertThat(workersOf(20, 5 * SECOND)).doesNotContain("llm-1");
        assertThat(placement.hasRoom(14 * SECOND)).isFalse();
        assertThat(placement.hasRoom(16 * SECOND)).isTrue();
    }

    @Test
    void readsItsOwnPastGrantsInALateReportAsItsOwn() {
        // Reports are five seconds late. Taken for the present, a worker that was full then would stand idle now.
        List<Running> all = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            all.add(place(candidate(0, 2), 0));
        }
        placement.advance(0);
        for (Running running : all) {
            placement.released(running, ANSWERED, SECOND);
        }
        placement.report(new WorkerReport("llm-1", 0, 4, 0), 5 * SECOND);

        assertThat(workersOf(24, 5 * SECOND)).contains("llm-1").hasSize(24);
    }

    @Test
    void capsTheLongJobsOfAWorker() {
        int placed = 0;
        Candidate longJob = new Candidate(ask(0, 2), 0, 1_000, true);
        while (placement.place(longJob, 0).isPresent()) {
            place(longJob, 0);
            placed++;
        }

        assertThat(placed).isEqualTo(12);
        assertThat(placement.place(candidate(0, 2), 0)).isPresent();
    }

    @Test
    void countsAnAdoptedGrantAtAWorkerThatTheListShowsLater() {
        CellPlacement fresh = new CellPlacement(CellSettings.builder().build());
        grant(fresh, candidate(0, 2), "llm-1", 0);
        fresh.workers(List.of(new WorkerInfo("llm-1", "ruwi-hall", 1, false)), 1);

        assertThat(fresh.hasRoom(1)).isFalse();
    }

    private Set<String> ejectOne(long nowNanos) {
        String crashed = placement.place(candidate(0, 2), nowNanos).orElseThrow();
        for (int i = 0; i < 3; i++) {
            placement.released(grant(candidate(0, 2), crashed, nowNanos), FAILED, nowNanos);
        }
        assertThat(placement.ejected()).containsExactly(crashed);
        Set<String> rest = new HashSet<>();
        for (WorkerInfo worker : workers(4)) {
            rest.add(worker.name());
        }
        rest.remove(crashed);
        return rest;
    }

    /** Streams for four seconds on every worker; a pace of 0 is none. */
    private void stream(long paceNanos, long paceOfFirstNanos) {
        List<Running> all = new ArrayList<>();
        for (WorkerInfo worker : workers(4)) {
            all.add(grant(candidate(0, 2), worker.name(), 0));
        }
        for (long now = 0; now <= 4 * SECOND; now += 20 * MILLI) {
            for (Running running : all) {
                long pace = running.worker().equals("llm-1") ? paceOfFirstNanos : paceNanos;
                if (pace > 0) {
                    placement.progress(running, (int) (now / pace), false, now);
                }
            }
            placement.advance(now);
        }
        for (Running running : all) {
            placement.released(running, new Completion(Completion.End.CANCELLED, -1, 1, 0), 4 * SECOND);
        }
    }

    private List<String> workersOf(int count, long nowNanos) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(place(candidate(0, 2), nowNanos).worker());
        }
        return names;
    }

    private Running place(Candidate candidate, long nowNanos) {
        return grant(candidate, placement.place(candidate, nowNanos).orElseThrow(), nowNanos);
    }

    private Running grant(Candidate candidate, String worker, long nowNanos) {
        return grant(placement, candidate, worker, nowNanos);
    }

    private Running grant(CellPlacement at, Candidate candidate, String worker, long nowNanos) {
        lastGrant++;
        Running running = new Running(lastGrant, candidate, worker, false, nowNanos);
        at.granted(running, nowNanos);
        return running;
    }

    private static Candidate candidate(long prefix, int tokens) {
        return new Candidate(ask(prefix, tokens), 0, tokens, false);
    }

    private static CellRequest ask(long prefix, int input) {
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
