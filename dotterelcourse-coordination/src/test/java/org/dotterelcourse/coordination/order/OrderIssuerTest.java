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
     * After a long pause the process reads a confirmation that arrived during the pause. If it counted as recent, the
     * process would issue orders of a configuration that the fleet has replaced.
     */
    @Test
    void afterAPauseNothingIsIssuedUntilAPeerAnswersANewQuestion() {
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

    /** Another daemon already has a newer configuration. Orders of the older one would be reverted immediately. */
    @Test
    void noOrderIsIssuedWhileAHigherNumberIsKnown() {
        owns(true);
        issuer.report(state("a", OLD, 10));
        Order order = unload(issuer.advance(20), 20);

        issuer.observeNumber(8);

        assertThat(issuer.mayWrite(order, 30)).isFalse();
        assertThat(issuer.advance(30)).isEmpty();
    }

    /**
     * These engines accept any order, so orders of the previous owner may still be in flight when the new owner starts.
     */
    @Test
    void newOwnerWaitsForTheSettleTimeIfEnginesDontCheckFences() {
        owns(false);
        issuer.report(state("a", OLD, 10));
        issuer.confirmNumber(7, 499);
        assertThat(issuer.advance(499)).isEmpty();

        issuer.report(state("a", OLD, 500));
        assertThat(issuer.advance(500)).isNotEmpty();
    }

    /** Two hundred workers start without a model. Without pacing, the weight store would reject most of their loads. */
    @Test
    void loadsAreSpacedAndLimitedInNumber() {
        issuer.updateGoal(goal(7, true, 0, "a", "b", "c", "d"));
        issuer.setOwner(true, 0);
        int loads = 0;
        for (long now = 1; now <= 1_000; now++) {
            issuer.confirmNumber(7, now);
            for (String worker : List.of("a", "b", "c", "d")) {
                issuer.report(new EngineState(worker, Fence.NONE, new TreeSet<>(), "", now));
            }
            loads += issuer.advance(now).size();
            assertThat(loads)
                    .isLessThanOrEqualTo(1 + (int) now / 50)
                    .isLessThanOrEqualTo(SETTINGS.maxConcurrentLoads());
        }
        assertThat(loads).isEqualTo(2);
    }

    /** An engine restarts without its model after a crash. Without a new order its worker would stay idle forever. */
    @Test
    void versionThatAnEngineLostIsLoadedAgain() {
        owns(true);
        issuer.report(state("a", NEW, 10));
        assertThat(issuer.advance(20)).isEmpty();
        assertThat(issuer.isGoalReached(20)).isTrue();

        issuer.report(new EngineState("a", new Fence(7, 3), new TreeSet<>(), "", 30));

        assertThat(issuer.advance(40))
                .containsExactly(new OrderEffect.Issue(new Order("a", new Fence(7, 4), new OrderAction.Load(NEW))));
    }

    /**
     * The only worker that serves the model can't be changed. Operators must be notified that the rollout is blocked.
     */
    @Test
    void rolloutThatWouldLeaveTooFewServingWorkersIsReported() {
        issuer.updateGoal(goal(7, true, 1, "a"));
        issuer.setOwner(true, 0);
        issuer.confirmNumber(7, 10);
        issuer.report(state("a", OLD, 10));

        assertThat(issuer.advance(20)).containsExactly(new OrderEffect.Blocked(List.of("a")));
        assertThat(issuer.advance(30)).isEmpty();
    }

    /** A configuration reverts the change while the worker is being drained. The worker must receive requests again. */
    @Test
    void workerIsResumedWhenItsUnloadIsCancelled() {
        owns(true);
        issuer.report(state("a", OLD, 10));
        assertThat(issuer.advance(20)).containsExactly(new OrderEffect.Drain("a", OLD));
        TreeMap<String, WorkerGoal> workers = new TreeMap<>();
        workers.put("a", new WorkerGoal("", new TreeSet<>(List.of(OLD)), 1));

        issuer.updateGoal(new CellGoal(8, workers, Map.of(), true));

        assertThat(issuer.advance(30)).containsExactly(new OrderEffect.Resume("a", OLD));
    }

    /**
     * Another issuer wrote its order first. This one must read the engine's state again and use a higher fencing token.
     */
    @Test
    void fencedIssuerWaitsForANewStateAndUsesAHigherToken() {
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
