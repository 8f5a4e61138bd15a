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
    void keepsItsPromisesOverRandomTraces(@ForAll long seed) {
        // Requests come, end, fail and are withdrawn; workers come, go, refuse and report late, all in any order. A
        // request that got lost would hang at its caller, one that ended twice would be answered and refused at once,
        // and a lower tier kept in place of a higher would turn a teller away for a summary.
        new RandomTrace(seed, scheduler(CellSettings.builder().leastShare(0)), false).run(400);
        new RandomTrace(seed, scheduler(CellSettings.builder()), true).run(400);
    }

    @Property(seed = "62", tries = 60)
    void keepsItsPromisesWithAnyMechanismSwitchedOff(@ForAll long seed, @ForAll Mechanism off) {
        if (off != Mechanism.TIERS && off != Mechanism.MINIMUM_SHARE) {
            new RandomTrace(seed, scheduler(CellSettings.builder().disable(off)), true).run(400);
        }
    }

    @Test
    void meetsShedsAndPreemptionsInTheTraces() {
        int sheds = 0;
        int preemptions = 0;
        for (long seed = 0; seed < 20; seed++) {
            RandomTrace trace = new RandomTrace(seed, scheduler(CellSettings.builder()), true);
            trace.run(400);
            sheds += trace.sheds;
            preemptions += trace.preemptions;
        }
        assertThat(sheds).isPositive();
        assertThat(preemptions).isPositive();
    }

    @Property(seed = "63", tries = 30)
    void givesEachClassItsMinimumShareWhateverTheHigherTiersWant(@ForAll long seed) {
        // Tellers want more than the cell can do, for as long as it lasts. Without a share parents and summaries would
        // wait until the rush is over; with it each gets its part of the work, however long its answers are.
        Map<String, Double> work = new HashMap<>();
        Saturated cell = new Saturated(scheduler(CellSettings.builder()), new Random(seed));
        for (int i = 0; i < 4_000; i++) {
            cell.replaceOne(work);
        }
        double all = work.values().stream().mapToDouble(Double::doubleValue).sum();
        assertThat(work.getOrDefault("quick", 0.0) / all).isGreaterThan(0.9 * 0.2);
        assertThat(work.getOrDefault("slow", 0.0) / all).isGreaterThan(0.9 * 0.1);
        assertThat(work.getOrDefault("plain", 0.0) / all).isBetween(0.9 * 0.01, 0.05);
    }

    @Property(seed = "64", tries = 30)
    void sharesAClassEvenlyBetweenAHotCustomerAndAQuietOne(@ForAll long seed) {
        // One customer floods the class and asks for answers ten times as long. The other keeps a few requests waiting
        // and
        // should notice nothing but that it has half.
        CellScheduler scheduler = scheduler(CellSettings.builder());
        scheduler.updateWorkers(List.of(new WorkerInfo("llm-1", "ruwi-hall", 1, false)), 0);
        Random random = new Random(seed);
        ClassTerms terms = RandomTrace.CLASSES.get(2);
        Map<String, Double> work = new HashMap<>();
        Map<String, Integer> waiting = new HashMap<>();
        List<CellEffect> effects = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            int hot = waiting.merge("hot", 0, Integer::sum);
            int quiet = waiting.merge("quiet", 0, Integer::sum);
            if (hot < 4) {
                effects.addAll(scheduler.offer(ask("hot", i, terms), i * MILLI));
                waiting.merge("hot", 1, Integer::sum);
            }
            if (quiet < 3) {
                effects.addAll(scheduler.offer(ask("quiet", i, terms), i * MILLI));
                waiting.merge("quiet", 1, Integer::sum);
            }
            CellEffect.Granted granted = (CellEffect.Granted) effects.remove(0);
            String customer = granted.requestId().split("-")[0];
            waiting.merge(customer, -1, Integer::sum);
            int tokens = (customer.equals("hot") ? 500 : 50) + random.nextInt(20);
            // Turns are charged by estimate, so the shares are even once lengths have been learned.
            work.merge(customer, i < 1_000 ? 0.0 : tokens, Double::sum);
            Completion answered = new Completion(Completion.End.ANSWERED, MILLI, 2 * MILLI, tokens);
            effects.addAll(scheduler.release(granted.grant(), answered, i * MILLI));
        }
        assertThat(work.get("quiet") / work.get("hot")).isBetween(0.9, 1.12);
    }

    @Test
    void servesEveryWaitingRequestInTheEnd() {
        // The oldest request of a class may have missed its target long ago while newer ones still meet theirs. It must
        // not wait for ever behind them.
        // With eight places, every fourth turn for late ones, and a turn in about 75 steps for a class whose requests
        // are
        // nine times the mean and whose share is a tenth, the last of eight is served within 2400 steps. A class
        // without a
        // share of its own has a hundredth, and a turn in about 150 steps.
        Saturated cell = new Saturated(scheduler(CellSettings.builder()), new Random(7));
        for (int i = 0; i < 12_000; i++) {
            cell.replaceOne(new HashMap<>());
        }
        assertThat(cell.longestStay("slow")).isLessThan(2_400);
        assertThat(cell.longestStay("quick")).isLessThan(2_400);
        assertThat(cell.longestStay("plain")).isLessThan(4_800);
    }

    private static CellScheduler scheduler(CellSettings.Builder settings) {
        settings.maxWaiting(RandomTrace.MAX_WAITING).guaranteedWaiting(RandomTrace.GUARANTEED);
        return TieredScheduler.builder().settings(settings.build()).build();
    }

    private static CellRequest ask(String customer, int number, ClassTerms terms) {
        return new CellRequest(customer + "-" + number, terms, customer, number * MILLI, 10, 0, true, 0, Set.of());
    }

    /** A cell whose classes all want more than it can do; each step one request ends and two of each class come. */
    private static final class Saturated {
        private static final int[] TOKENS = {40, 100, 200, 900};

        private final CellScheduler scheduler;
        private final Random random;
        private final Map<Long, String> running = new HashMap<>();
        private final Map<String, Integer> offeredAt = new LinkedHashMap<>();
        private final Map<String, Integer> longestStay = new HashMap<>();
        private int step;
        private int lastId;

        Saturated(CellScheduler scheduler, Random random) {
            this.scheduler = scheduler;
            this.random = random;
            keep(scheduler.updateWorkers(List.of(new WorkerInfo("llm-1", "ruwi-hall", 8, false)), 0));
        }

        void replaceOne(Map<String, Double> work) {
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
            keep(scheduler.release(grant, answered, step * MILLI));
        }

        private void offer(ClassTerms terms) {
            lastId++;
            String id = terms.name() + "-" + lastId;
            offeredAt.put(id, step);
            CellRequest ask = new CellRequest(id, terms, "bank", step * MILLI, 0, 0, false, 0, Set.of());
            keep(scheduler.offer(ask, step * MILLI));
        }

        private int tokens(String className) {
            for (int i = 0; i < TOKENS.length; i++) {
                if (RandomTrace.CLASSES.get(i).name().equals(className)) {
                    return (int) (TOKENS[i] * (0.5 + random.nextDouble()));
                }
            }
            throw new IllegalArgumentException(className);
        }

        private void keep(List<CellEffect> effects) {
            for (CellEffect effect : effects) {
                if (effect instanceof CellEffect.Granted granted) {
                    running.put(granted.grant(), granted.requestId());
                    stayed(granted.requestId());
                } else if (effect instanceof CellEffect.Refused refused) {
                    offeredAt.remove(refused.requestId());
                }
            }
        }

        /** The longest that a request of the class waited, or has waited so far. */
        int longestStay(String className) {
            for (String id : List.copyOf(offeredAt.keySet())) {
                stayed(id);
            }
            return longestStay.getOrDefault(className, 0);
        }

        private void stayed(String id) {
            int stay = step - offeredAt.remove(id);
            longestStay.merge(id.split("-")[0], stay, Math::max);
        }
    }
}
