package org.dotterelcourse.experiments;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.dotterelcourse.policy.cell.Ask;
import org.dotterelcourse.policy.cell.CellEffect;
import org.dotterelcourse.policy.cell.CellScheduler;
import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.FifoScheduler;
import org.dotterelcourse.policy.cell.TieredScheduler;
import org.dotterelcourse.policy.cell.WorkerInfo;

/**
 * Measures what a decision costs with a given number of requests waiting: one request ends, which grants the next, and a
 * new one comes in its place. Half of this pair is one decision. This is the only code here that reads a clock.
 */
final class DecisionCost {
    /**
     * Times of one decision.
     *
     * @param meanNanos mean, in nanoseconds
     * @param p99Nanos ninety-ninth percentile, in nanoseconds
     */
    record Cost(double meanNanos, double p99Nanos) {}

    private static final int WARM_UP = 200_000;
    private static final int MEASURED = 200_000;
    private static final int CUSTOMERS = 100;
    private static final int PREFIXES = 400;
    private static final int MOST_WAITING = 200_000;
    private static final long STEP_NANOS = 20_000L;

    private final CellScheduler scheduler;
    private final Random random = new Random(1);
    private final List<Long> running = new ArrayList<>();
    private long nowNanos;
    private int lastId;

    private DecisionCost(CellScheduler scheduler) {
        this.scheduler = scheduler;
    }

    static Cost fifo(int waiting) {
        return new DecisionCost(new FifoScheduler(MOST_WAITING, new Random(1))).measure(waiting);
    }

    static Cost tiered(int waiting) {
        CellSettings settings = CellSettings.builder().maxWaiting(MOST_WAITING).build();
        return new DecisionCost(TieredScheduler.builder().settings(settings).build()).measure(waiting);
    }

    private Cost measure(int waiting) {
        List<WorkerInfo> workers = new ArrayList<>();
        for (int i = 1; i <= Workload.WORKERS; i++) {
            workers.add(new WorkerInfo("llm-" + i, "ruwi-hall", FakeWorker.BATCH_LIMIT, false));
        }
        keep(scheduler.workers(workers, 0));
        while (scheduler.waiting() < waiting) {
            keep(scheduler.offer(ask(), nowNanos));
        }
        Histogram times = new Histogram(1_000_000_000L, 3);
        for (int i = 0; i < WARM_UP + MEASURED; i++) {
            nowNanos += STEP_NANOS;
            Ask next = ask();
            long grant = takeRunning();
            Completion answered = new Completion(Completion.End.ANSWERED, 200_000_000L, 2_000_000_000L, tokens());
            long start = System.nanoTime();
            List<CellEffect> granted = scheduler.release(grant, answered, nowNanos);
            List<CellEffect> offered = scheduler.offer(next, nowNanos);
            long took = System.nanoTime() - start;
            keep(granted);
            keep(offered);
            if (i >= WARM_UP) {
                times.recordValue(took / 2);
            }
        }
        return new Cost(times.getMean(), times.getValueAtPercentile(99));
    }

    private void keep(List<CellEffect> effects) {
        for (CellEffect effect : effects) {
            if (effect instanceof CellEffect.Granted granted) {
                running.add(granted.grant());
            }
        }
    }

    private long takeRunning() {
        int index = random.nextInt(running.size());
        int last = running.size() - 1;
        long grant = running.get(index);
        running.set(index, running.get(last));
        running.remove(last);
        return grant;
    }

    private Ask ask() {
        lastId++;
        ClassTerms like =
                Workload.CLASSES.get(random.nextInt(Workload.CLASSES.size())).terms();
        // No bound and no lateness: the number that waits stays what it is to be.
        ClassTerms terms = new ClassTerms(
                like.name(),
                like.tier(),
                like.minimumShare(),
                MOST_WAITING,
                false,
                like.targetNanos(),
                like.tokenIntervalNanos(),
                like.maxOutputTokens());
        String customer = "customer-" + random.nextInt(CUSTOMERS);
        long prefix = 1 + random.nextInt(PREFIXES);
        return new Ask("r" + lastId, terms, customer, nowNanos, 800, prefix, true, 0, Set.of());
    }

    private int tokens() {
        return 1 + random.nextInt(400);
    }
}
