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
                    .leastShare(0)
                    .build())
            .build();

    @Test
    void servesTheHigherTierFirst() {
        scheduler.offer(ask("summary-1", SUMMARY), 0);
        scheduler.offer(ask("teller-1", TELLER), 0);

        assertThat(scheduler.updateWorkers(oneWorker(1, false), 1))
                .containsExactly(new CellEffect.Granted("teller-1", 1, "llm-1"));
    }

    @Test
    void refusesTheNewestOfTheLowestTierWhenFull() {
        scheduler.offer(ask("summary-1", SUMMARY), 0);
        scheduler.offer(ask("summary-2", SUMMARY), 1);

        List<CellEffect> effects = scheduler.offer(ask("teller-1", TELLER), 2);

        assertThat(effects).singleElement().isInstanceOfSatisfying(CellEffect.Refused.class, refused -> {
            assertThat(refused.requestId()).isEqualTo("summary-2");
            assertThat(refused.reason()).isEqualTo(RefusalReason.CELL_FULL);
            assertThat(refused.retryAfterNanos()).isPositive();
        });
        assertThat(scheduler.waitingCount()).isEqualTo(2);
    }

    @Test
    void keepsTheGuaranteedPlaceOfAClassWithAShareWhenFull() {
        scheduler.offer(ask("parents-1", PARENTS), 0);
        scheduler.offer(ask("teller-1", TELLER), 0);
        scheduler.offer(ask("teller-2", TELLER), 0);

        assertThat(scheduler.offer(ask("teller-3", TELLER), 0))
                .extracting(effect -> ((CellEffect.Refused) effect).requestId())
                .containsExactly("teller-3");
        assertThat(scheduler.waitingCount()).isEqualTo(3);
    }

    @Test
    void givesALeavingWorkerNothing() {
        // A VM is about to be replaced. The list of VMs lags, so the worker says it first, by refusing a request; what
        // were sent there afterwards would be cut off.
        scheduler.updateWorkers(oneWorker(1, false), 0);
        scheduler.offer(ask("teller-1", TELLER), 0);
        scheduler.offer(ask("teller-2", TELLER), 0);

        assertThat(scheduler.release(1, new Completion(Completion.End.LEAVING, -1, 1, 0), 1))
                .isEmpty();
        assertThat(scheduler.updateWorkers(oneWorker(1, false), 2)).isEmpty();
        assertThat(scheduler.offer(ask("teller-3", TELLER), 3)).hasOnlyElementsOfType(CellEffect.Refused.class);
    }

    @Test
    void refusesWhatIsPastItsTargetAndUselessLate() {
        scheduler.offer(ask("teller-1", TELLER), 0);

        assertThat(scheduler.advance(SECOND))
                .extracting(effect -> ((CellEffect.Refused) effect).reason())
                .containsExactly(RefusalReason.TOO_LATE);
        assertThat(scheduler.waitingCount()).isZero();
    }

    @Test
    void preemptsALongStreamOfALowerTierForAnUrgentRequest() {
        // Every slot holds a long summary when a teller comes; waiting for one to end would miss the teller's target.
        scheduler.updateWorkers(oneWorker(1, false), 0);
        scheduler.offer(ask("summary-1", SUMMARY), 0);
        scheduler.progress(1, 10, SECOND / 2);

        assertThat(scheduler.offer(ask("teller-1", TELLER), SECOND / 2)).isEmpty();
        assertThat(scheduler.advance(SECOND - 1))
                .containsExactly(
                        new CellEffect.Preempted("summary-1", 1), new CellEffect.Granted("teller-1", 2, "llm-1"));
    }

    private static List<WorkerInfo> oneWorker(int concurrency, boolean leaving) {
        return List.of(new WorkerInfo("llm-1", "ruwi-hall", concurrency, leaving));
    }

    private static CellRequest ask(String id, ClassTerms terms) {
        return new CellRequest(id, terms, "bank", 0, 10, 0, true, 0, Set.of());
    }
}
