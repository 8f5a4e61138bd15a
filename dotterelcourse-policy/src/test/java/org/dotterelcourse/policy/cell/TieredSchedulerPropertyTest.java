package org.dotterelcourse.policy.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TieredSchedulerPropertyTest {
    private static final long MILLI = 1_000_000L;

    @Property(seed = "61", tries = 150)
    void keepsItsInvariantsOverRandomTraces(@ForAll long seed) {
        // Requests arrive, end, fail and are withdrawn, and workers join, leave, reject requests and send late load
        // reports, in any order. A lost request would hang at its caller, one that ended twice would be both answered
        // and rejected, and a scheduler that kept a lower tier in place of a higher one would reject urgent requests
        // in favour of batch work.
        new RandomTrace(seed, scheduler(CellSettings.builder().defaultMinimumShare(0)), false).run(400);
        new RandomTrace(seed, scheduler(CellSettings.builder()), true).run(400);
    }

    @Property(seed = "62", tries = 60)
    void keepsItsInvariantsWithAnyMechanismDisabled(@ForAll long seed, @ForAll Mechanism disabled) {
        if (disabled != Mechanism.TIERS && disabled != Mechanism.MINIMUM_SHARE) {
            new RandomTrace(seed, scheduler(CellSettings.builder().disable(disabled)), true).run(400);
        }
    }

    @Test
    void shedsAndPreemptsInTheRandomTraces() {
        int sheds = 0;
        int preemptions = 0;
        for (long seed = 0; seed < 20; seed++) {
            RandomTrace trace = new RandomTrace(seed, scheduler(CellSettings.builder()), true);
            trace.run(400);
            sheds += trace.shedCount;
            preemptions += trace.preemptionCount;
        }
        assertThat(sheds).isPositive();
        assertThat(preemptions).isPositive();
    }

    @Property(seed = "63", tries = 30)
    void givesEachClassItsMinimumShareUnderOverloadByHigherTiers(@ForAll long seed) {
        // The highest tier offers more load than the cell can serve. Without minimum shares the lower tiers would
        // starve until the overload ends; with them, each gets its share of the work, however long its answers are.
        Map<String, Double> work = new HashMap<>();
        SaturatedCell cell = new SaturatedCell(scheduler(CellSettings.builder()), new Random(seed));
        for (int i = 0; i < 4_000; i++) {
            cell.runStep(work);
        }
        double totalWork =
                work.values().stream().mapToDouble(Double::doubleValue).sum();
        assertThat(work.getOrDefault("quick", 0.0) / totalWork).isGreaterThan(0.9 * 0.2);
        assertThat(work.getOrDefault("slow", 0.0) / totalWork).isGreaterThan(0.9 * 0.1);
        assertThat(work.getOrDefault("plain", 0.0) / totalWork).isBetween(0.9 * 0.01, 0.05);
    }

    @Property(seed = "64", tries = 30)
    void sharesAClassEvenlyBetweenAHotAndAQuietCustomer(@ForAll long seed) {
        // One customer floods the class with requests whose answers are ten times as long as those of the other one,
        // which keeps only a few requests queued. Both should receive half of the work.
        CellScheduler scheduler = scheduler(CellSettings.builder());
        scheduler.updateWorkers(List.of(new WorkerInfo("llm-1", "ruwi-hall", 1, false)), 0);
        Random random = new Random(seed);
        ClassTerms terms = RandomTrace.CLASSES.get(2);
        Map<String, Double> work = new HashMap<>();
        Map<String, Integer> queued = new HashMap<>();
        List<CellEffect> effects = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            int hotQueued = queued.merge("hot", 0, Integer::sum);
            int quietQueued = queued.merge("quiet", 0, Integer::sum);
            if (hotQueued < 4) {
                effects.addAll(scheduler.offer(request("hot", i, terms), i * MILLI));
                queued.merge("hot", 1, Integer::sum);
            }
            if (quietQueued < 3) {
                effects.addAll(scheduler.offer(request("quiet", i, terms), i * MILLI));
                queued.merge("quiet", 1, Integer::sum);
            }
            CellEffect.Granted granted = (CellEffect.Granted) effects.remove(0);
            String customer = granted.requestId().split("-")[0];
            queued.merge(customer, -1, Integer::sum);
            int tokens = (customer.equals("hot") ? 500 : 50) + random.nextInt(20);
            // Requests are charged by estimate, so the shares are even only after the answer lengths have been
            // learned.
            work.merge(customer, i < 1_000 ? 0.0 : tokens, Double::sum);
            Completion answered = new Completion(Completion.End.ANSWERED, MILLI, 2 * MILLI, tokens);
            effects.addAll(scheduler.release(granted.grant(), answered, i * MILLI));
        }
        assertThat(work.get("quiet") / work.get("hot")).isBetween(0.9, 1.12);
    }

    @Test
    void servesEveryQueuedRequestEventually() {
        // A request that has missed its target must not starve behind newer requests that can still meet theirs. The
        // bounds: a class has eight places, every fourth request served is a late one, and a class with a share of a
        // tenth whose requests cost nine times the mean is served once in about 75 steps. So the last of eight is
        // served within 2400 steps. A class without a share of its own has a hundredth, and is served once in about
        // 150 steps.
        SaturatedCell cell = new SaturatedCell(scheduler(CellSettings.builder()), new Random(7));
        for (int i = 0; i < 12_000; i++) {
            cell.runStep(new HashMap<>());
        }
        assertThat(cell.longestWait("slow")).isLessThan(2_400);
        assertThat(cell.longestWait("quick")).isLessThan(2_400);
        assertThat(cell.longestWait("plain")).isLessThan(4_800);
    }

    private static CellScheduler scheduler(CellSettings.Builder settings) {
        settings.maxWaiting(RandomTrace.MAX_WAITING).guaranteedWaiting(RandomTrace.GUARANTEED);
        return TieredScheduler.builder().settings(settings.build()).build();
    }

    private static CellRequest request(String customer, int number, ClassTerms terms) {
        return new CellRequest(customer + "-" + number, terms, customer, number * MILLI, 10, 0, true, 0, Set.of());
    }

    /** A cell that all classes overload: in each step, one request ends and two requests of each class arrive. */
    private static final class SaturatedCell {
        private static final int[] TOKENS = {40, 100, 200, 900};

        private final CellScheduler scheduler;
        private final Random random;
        private final Map<Long, String> running = new HashMap<>();
        private final Map<String, Integer> offeredAtStep = new LinkedHashMap<>();
        private final Map<String, Integer> longestWait = new HashMap<>();
        private int step;
        private int lastId;

        SaturatedCell(CellScheduler scheduler, Random random) {
            this.scheduler = scheduler;
            this.random = random;
            apply(scheduler.updateWorkers(List.of(new WorkerInfo("llm-1", "ruwi-hall", 8, false)), 0));
        }

        void runStep(Map<String, Double> work) {
            step++;
            for (ClassTerms terms : RandomTrace.CLASSES) {
                offer(terms);
                offer(terms);
            }
            long grant = List.copyOf(running.keySet()).get(random.nextInt(running.size()));
            String className = running.remove(grant).split("-")[0];
            int tokens = tokens(className);
            work.merge(className, (double) tokens, Double::sum);
            Completion answered = new Completion(Completion.End.ANSWERED, MILLI, tokens * MILLI / 100, tokens);
            apply(scheduler.release(grant, answered, step * MILLI));
        }

        private void offer(ClassTerms terms) {
            lastId++;
            String id = terms.name() + "-" + lastId;
            offeredAtStep.put(id, step);
            CellRequest request = new CellRequest(id, terms, "bank", step * MILLI, 0, 0, false, 0, Set.of());
            apply(scheduler.offer(request, step * MILLI));
        }

        private int tokens(String className) {
            for (int i = 0; i < TOKENS.length; i++) {
                if (RandomTrace.CLASSES.get(i).name().equals(className)) {
                    return (int) (TOKENS[i] * (0.5 + random.nextDouble()));
                }
            }
            throw new IllegalArgumentException(className);
        }

        private void apply(List<CellEffect> effects) {
            for (CellEffect effect : effects) {
                if (effect instanceof CellEffect.Granted granted) {
                    running.put(granted.grant(), granted.requestId());
                    recordWait(granted.requestId());
                } else if (effect instanceof CellEffect.Refused refused) {
                    offeredAtStep.remove(refused.requestId());
                }
            }
        }

        /** The longest time, in steps, that a request of the class was queued, or has been queued so far. */
        int longestWait(String className) {
            for (String id : List.copyOf(offeredAtStep.keySet())) {
                recordWait(id);
            }
            return longestWait.getOrDefault(className, 0);
        }

        private void recordWait(String id) {
            int wait = step - offeredAtStep.remove(id);
            longestWait.merge(id.split("-")[0], wait, Math::max);
        }
    }
}
