package org.dotterelcourse.coordination.order;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class OrderIssuerTest {
    private static final ModelVersion OLD = new ModelVersion("kasmodel", "v1");
    private static final ModelVersion NEW = new ModelVersion("kasmodel", "v2");
    private static final OrderSettings SETTINGS = new OrderSettings(100, 500, 1_000, 5_000, 50, 2);
    private final OrderIssuer issuer = new OrderIssuer(SETTINGS);

    /**
     * The process is paused for long and finds, when it wakes, an answer that came before. Taking the answer for news,
     * it would order what the fleet has moved on from.
     */
    @Test
    void aPausedIssuerThatWakesIssuesNothingUntilAPeerAnswersANewQuestion() {
        owns(true);
        issuer.report(state("a", OLD, 10));
        Order order = unload(issuer.advance(20), 20);
        assertThat(issuer.mayWrite(order, 30)).isTrue();

        issuer.confirmNumber(7, 40);
        assertThat(issuer.mayWrite(order, 900)).isFalse();
        assertThat(issuer.advance(900)).isEmpty();

        issuer.confirmNumber(7, 890);
        assertThat(issuer.mayWrite(order, 900)).isTrue();
    }

    /** Another daemon has a newer configuration already. An order by the old one would be undone at once. */
    @Test
    void anIssuerThatHearsOfAHigherNumberStopsUntilItHasThatConfiguration() {
        owns(true);
        issuer.report(state("a", OLD, 10));
        Order order = unload(issuer.advance(20), 20);

        issuer.heard(8);

        assertThat(issuer.mayWrite(order, 30)).isFalse();
        assertThat(issuer.advance(30)).isEmpty();
    }

    /** Engines take any order, so the old owner's last ones may still be on their way when the new one starts. */
    @Test
    void whereEnginesCheckNoFenceANewOwnerWaitsOutTheSettleTime() {
        owns(false);
        issuer.report(state("a", OLD, 10));
        issuer.confirmNumber(7, 499);
        assertThat(issuer.advance(499)).isEmpty();

        issuer.report(state("a", OLD, 500));
        assertThat(issuer.advance(500)).isNotEmpty();
    }

    /** Two hundred workers start empty. Without pacing the weight store would refuse most of their loads. */
    @Test
    void loadsAreSpacedAndBounded() {
        issuer.updateGoal(goal(7, true, 0, "a", "b", "c", "d"));
        issuer.setOwner(true, 0);
        int loads = 0;
        for (long now = 1; now <= 1_000; now++) {
            issuer.confirmNumber(7, now);
            for (String worker : List.of("a", "b", "c", "d")) {
                issuer.report(new EngineState(worker, Fence.NONE, new TreeSet<>(), "", now));
            }
            loads += issuer.advance(now).size();
            assertThat(loads).isLessThanOrEqualTo(1 + (int) now / 50).isLessThanOrEqualTo(SETTINGS.maxLoading());
        }
        assertThat(loads).isEqualTo(2);
    }

    /** An engine crashes and comes back without its model. Its worker would stand idle for good. */
    @Test
    void whatAnEngineLostIsOrderedAgain() {
        owns(true);
        issuer.report(state("a", NEW, 10));
        assertThat(issuer.advance(20)).isEmpty();
        assertThat(issuer.reached(20)).isTrue();

        issuer.report(new EngineState("a", new Fence(7, 3), new TreeSet<>(), "", 30));

        assertThat(issuer.advance(40))
                .containsExactly(new OrderEffect.Issue(new Order("a", new Fence(7, 4), new OrderAction.Load(NEW))));
    }

    /** The only copy can't be changed without leaving none. The operators must hear that the roll stands still. */
    @Test
    void aRollThatWouldLeaveTooFewCopiesIsReported() {
        issuer.updateGoal(goal(7, true, 1, "a"));
        issuer.setOwner(true, 0);
        issuer.confirmNumber(7, 10);
        issuer.report(state("a", OLD, 10));

        assertThat(issuer.advance(20)).containsExactly(new OrderEffect.Blocked(List.of("a")));
        assertThat(issuer.advance(30)).isEmpty();
    }

    /** A configuration takes the change back while the worker is being drained. It must get work again. */
    @Test
    void aWorkerWhoseUnloadingIsGivenUpGetsWorkAgain() {
        owns(true);
        issuer.report(state("a", OLD, 10));
        assertThat(issuer.advance(20)).containsExactly(new OrderEffect.Drain("a", OLD));
        TreeMap<String, WorkerGoal> workers = new TreeMap<>();
        workers.put("a", new WorkerGoal("", new TreeSet<>(List.of(OLD)), 1));

        issuer.updateGoal(new CellGoal(8, workers, Map.of(), true));

        assertThat(issuer.advance(30)).containsExactly(new OrderEffect.Resume("a", OLD));
    }

    /** Another issuer was faster. This one reads the engine's state anew and goes on from there. */
    @Test
    void anIssuerThatIsFencedReadsTheStateAndGoesAboveTheFence() {
        owns(true);
        issuer.report(state("a", OLD, 10));
        Order order = unload(issuer.advance(20), 20);

        issuer.handleAnswer(order, new OrderAnswer.Fenced(new Fence(7, 9)), 30);
        assertThat(issuer.advance(40)).containsExactly(new OrderEffect.Resume("a", OLD));
        issuer.report(state("a", OLD, 50));

        assertThat(unload(issuer.advance(60), 60).fence()).isEqualTo(new Fence(7, 10));
    }

    private void owns(boolean checksFences) {
        issuer.updateGoal(goal(7, checksFences, 0, "a"));
        issuer.setOwner(true, checksFences ? -SETTINGS.settleNanos() : 0);
        issuer.confirmNumber(7, 10);
    }

    private Order unload(List<OrderEffect> effects, long now) {
        assertThat(effects).containsExactly(new OrderEffect.Drain("a", OLD));
        return ((OrderEffect.Issue) issuer.completeDrain("a", OLD, now).get(0)).order();
    }

    private static EngineState state(String worker, ModelVersion loaded, long now) {
        return new EngineState(worker, Fence.NONE, new TreeSet<>(List.of(loaded)), "", now);
    }

    private static CellGoal goal(long number, boolean checksFences, int minServing, String... names) {
        TreeMap<String, WorkerGoal> workers = new TreeMap<>();
        for (String name : names) {
            workers.put(name, new WorkerGoal("", new TreeSet<>(List.of(NEW)), 1));
        }
        return new CellGoal(number, workers, Map.of("kasmodel", minServing), checksFences);
    }
}
