package org.dotterelcourse.policy.cell;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TieredSchedulerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ClassTerms TELLER = new ClassTerms("teller", 1, 0, 100, true, SECOND, SECOND / 10, 100);
    private static final ClassTerms SUMMARY = new ClassTerms("summary", 3, 0, 100, false, 60 * SECOND, SECOND, 1_000);
    private static final ClassTerms PARENTS = new ClassTerms("parents", 4, 0.25, 100, false, 60 * SECOND, SECOND, 100);

    private final TieredScheduler scheduler = TieredScheduler.builder()
            .settings(CellSettings.builder()
                    .maxWaiting(2)
                    .guaranteedWaiting(1)
                    .defaultMinimumShare(0)
                    .build())
            .build();

    @Test
    void grantsTheHigherTierFirst() {
        scheduler.offer(request("summary-1", SUMMARY), 0);
        scheduler.offer(request("teller-1", TELLER), 0);

        assertThat(scheduler.updateWorkers(oneWorker(1, false), 1))
                .containsExactly(new CellEffect.Granted("teller-1", 1, "llm-1"));
    }

    @Test
    void shedsTheNewestRequestOfTheLowestTierWhenFull() {
        scheduler.offer(request("summary-1", SUMMARY), 0);
        scheduler.offer(request("summary-2", SUMMARY), 1);

        List<CellEffect> effects = scheduler.offer(request("teller-1", TELLER), 2);

        assertThat(effects).singleElement().isInstanceOfSatisfying(CellEffect.Refused.class, refused -> {
            assertThat(refused.requestId()).isEqualTo("summary-2");
            assertThat(refused.reason()).isEqualTo(RefusalReason.CELL_FULL);
            assertThat(refused.retryAfterNanos()).isPositive();
        });
        assertThat(scheduler.waitingCount()).isEqualTo(2);
    }

    @Test
    void keepsTheGuaranteedPlaceOfAClassWithAMinimumShareWhenFull() {
        scheduler.offer(request("parents-1", PARENTS), 0);
        scheduler.offer(request("teller-1", TELLER), 0);
        scheduler.offer(request("teller-2", TELLER), 0);

        assertThat(scheduler.offer(request("teller-3", TELLER), 0))
                .extracting(effect -> ((CellEffect.Refused) effect).requestId())
                .containsExactly("teller-3");
        assertThat(scheduler.waitingCount()).isEqualTo(3);
    }

    @Test
    void grantsNothingToAWorkerThatIsShuttingDown() {
        // A VM is about to be replaced. The published list of VMs lags behind, so the worker reports it first, by
        // rejecting a request. Requests sent there afterwards would be interrupted.
        scheduler.updateWorkers(oneWorker(1, false), 0);
        scheduler.offer(request("teller-1", TELLER), 0);
        scheduler.offer(request("teller-2", TELLER), 0);

        assertThat(scheduler.release(1, new Completion(Completion.End.LEAVING, -1, 1, 0), 1))
                .isEmpty();
        assertThat(scheduler.updateWorkers(oneWorker(1, false), 2)).isEmpty();
        assertThat(scheduler.offer(request("teller-3", TELLER), 3)).hasOnlyElementsOfType(CellEffect.Refused.class);
    }

    @Test
    void rejectsAQueuedRequestThatHasMissedItsTargetAndIsUselessWhenLate() {
        scheduler.offer(request("teller-1", TELLER), 0);

        assertThat(scheduler.advance(SECOND))
                .extracting(effect -> ((CellEffect.Refused) effect).reason())
                .containsExactly(RefusalReason.TOO_LATE);
        assertThat(scheduler.waitingCount()).isZero();
    }

    @Test
    void preemptsALongStreamOfALowerTierForAnUrgentRequest() {
        // Long summaries occupy all slots when an urgent request arrives. If it waited for one of them to end, it
        // would miss its target.
        scheduler.updateWorkers(oneWorker(1, false), 0);
        scheduler.offer(request("summary-1", SUMMARY), 0);
        scheduler.progress(1, 10, SECOND / 2);

        assertThat(scheduler.offer(request("teller-1", TELLER), SECOND / 2)).isEmpty();
        assertThat(scheduler.advance(SECOND - 1))
                .containsExactly(
                        new CellEffect.Preempted("summary-1", 1), new CellEffect.Granted("teller-1", 2, "llm-1"));
    }

    private static List<WorkerInfo> oneWorker(int concurrency, boolean leaving) {
        return List.of(new WorkerInfo("llm-1", "ruwi-hall", concurrency, leaving));
    }

    private static CellRequest request(String id, ClassTerms terms) {
        return new CellRequest(id, terms, "bank", 0, 10, 0, true, 0, Set.of());
    }
}
