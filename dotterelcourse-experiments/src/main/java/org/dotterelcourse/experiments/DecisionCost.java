package org.dotterelcourse.experiments;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;

import org.HdrHistogram.Histogram;
import org.dotterelcourse.policy.cell.CellEffect;
import org.dotterelcourse.policy.cell.CellRequest;
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

    /** The shape of the load: all classes mixed, or a queue of long jobs that their cap holds back. */
    enum Shape {
        MIXED,
        LONG_HELD_BACK
    }

    private static final int RUNS = 3;
    private static final ClassLoad SHORT = Workload.CLASSES.get(0);
    private static final ClassLoad LONG = Workload.CLASSES.get(3);
    private static final int SHORT_AT_START = 60;

    /** Short requests end so much more often that the long ones count as long. */
    private static final double SHORT_ENDINGS = 0.97;

    private final CellScheduler scheduler;
    private final Shape shape;
    private final Random random = new Random(1);
    private final List<Running> running = new ArrayList<>();
    private long nowNanos;
    private int lastId;

    private record Running(long grant, String askId) {
        boolean isShort() {
            return askId.startsWith(SHORT.terms().name());
        }
    }

    private DecisionCost(CellScheduler scheduler, Shape shape) {
        this.scheduler = scheduler;
        this.shape = shape;
    }

    static Cost fifo(int waiting) {
        return median(() -> new DecisionCost(new FifoScheduler(MOST_WAITING, new Random(1)), Shape.MIXED), waiting);
    }

    static Cost tiered(int waiting, Shape shape) {
        CellSettings settings = CellSettings.builder().maxWaiting(MOST_WAITING).build();
        return median(
                () -> new DecisionCost(
                        TieredScheduler.builder().settings(settings).build(), shape),
                waiting);
    }

    /** The middle one of some runs: the machine may be busy with other work. */
    private static Cost median(Supplier<DecisionCost> maker, int waiting) {
        List<Cost> costs = new ArrayList<>();
        for (int i = 0; i < RUNS; i++) {
            costs.add(maker.get().measure(waiting));
        }
        costs.sort(Comparator.comparingDouble(Cost::meanNanos));
        return costs.get(RUNS / 2);
    }

    private Cost measure(int waiting) {
        List<WorkerInfo> workers = new ArrayList<>();
        for (int i = 1; i <= Workload.WORKERS; i++) {
            workers.add(new WorkerInfo("llm-" + i, "ruwi-hall", FakeWorker.BATCH_LIMIT, false));
        }
        keep(scheduler.updateWorkers(workers, 0));
        while (scheduler.waitingCount() < waiting) {
            boolean isShort = shape == Shape.LONG_HELD_BACK && running.size() < SHORT_AT_START;
            keep(scheduler.offer(ask(isShort), nowNanos));
        }
        Histogram times = new Histogram(1_000_000_000L, 3);
        for (int i = 0; i < WARM_UP + MEASURED; i++) {
            nowNanos += STEP_NANOS;
            Running ended = takeRunning();
            CellRequest next = ask(ended.isShort());
            long grant = ended.grant();
            Completion answered =
                    new Completion(Completion.End.ANSWERED, 200_000_000L, 2_000_000_000L, tokens(ended.isShort()));
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
                running.add(new Running(granted.grant(), granted.requestId()));
            }
        }
    }

    private Running takeRunning() {
        int index = random.nextInt(running.size());
        boolean wantsShort = shape == Shape.LONG_HELD_BACK && random.nextDouble() < SHORT_ENDINGS;
        while (wantsShort && !running.get(index).isShort()) {
            index = random.nextInt(running.size());
        }
        int last = running.size() - 1;
        Running taken = running.get(index);
        running.set(index, running.get(last));
        running.remove(last);
        return taken;
    }

    private CellRequest ask(boolean isShort) {
        lastId++;
        ClassTerms like = load(isShort).terms();
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
        return new CellRequest(terms.name() + lastId, terms, customer, nowNanos, 800, prefix, true, 0, Set.of());
    }

    private ClassLoad load(boolean isShort) {
        if (shape == Shape.MIXED) {
            return Workload.CLASSES.get(random.nextInt(Workload.CLASSES.size()));
        }
        return isShort ? SHORT : LONG;
    }

    private int tokens(boolean isShort) {
        if (shape == Shape.MIXED) {
            return 1 + random.nextInt(400);
        }
        return (int) load(isShort).meanTokens();
    }
}
