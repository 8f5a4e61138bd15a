package org.dotterelcourse.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Issues the orders to the engines of one cell while this daemon owns the cell. A reconciliation loop: it compares the
 * reported states of the engines with the goal and orders the differences.
 *
 * <p>An order may be written only if the configuration in force in this daemon has the highest number that it knows of,
 * and a peer has confirmed this recently. The age of a confirmation counts from the time at which the peer was asked,
 * on this daemon's own clock, not from the time at which the answer was read. Without this, a process that resumes
 * after a pause would accept the old answers in its socket buffers as recent and issue orders of an outdated
 * configuration: engines would switch back to an older version and then forward again.
 *
 * <p>No state has to be stored: the goal is derived from the configuration, and the states of the engines can be read
 * again.
 */
public final class OrderIssuer {
    private static final long NEVER = Long.MIN_VALUE;

    private final OrderSettings settings;
    private final Map<String, EngineState> states = new HashMap<>();
    private final Map<String, Fence> fences = new HashMap<>();
    private final Map<String, PendingOrder> pendingOrders = new HashMap<>();
    private final Map<String, ModelVersion> draining = new TreeMap<>();
    private CellGoal goal;
    private long highestNumber;
    private long confirmedNanos = NEVER;
    private long ownerSinceNanos = NEVER;
    private long lastLoadNanos = NEVER;
    private List<String> blockedWorkers = List.of();

    /**
     * Creates an issuer for a cell that this daemon does not own yet.
     *
     * @param settings timeouts and limits
     */
    public OrderIssuer(OrderSettings settings) {
        this.settings = settings;
    }

    /** An order that was planned and whose effect is not visible in a state report yet. */
    private static final class PendingOrder {
        private final Order order;
        private boolean drained;
        private boolean issued;
        private boolean accepted;
        private long sinceNanos;

        PendingOrder(Order order, long nowNanos) {
            this.order = order;
            this.sinceNanos = nowNanos;
        }
    }

    /**
     * Sets the goal from the configuration in force in this daemon. Ignored unless its number is higher than that of
     * the present goal.
     *
     * @param newGoal the desired state of this cell
     */
    public void updateGoal(CellGoal newGoal) {
        if (goal != null && newGoal.number() <= goal.number()) {
            return;
        }
        goal = newGoal;
        observeNumber(newGoal.number());
        // Orders that were not sent yet are planned again with the new number; those that were sent stay pending.
        pendingOrders.values().removeIf(pending -> !pending.issued);
    }

    /**
     * Records the existence of a configuration number. While the goal has a lower number, no orders are issued.
     *
     * @param number a configuration number that another process or an engine has used
     */
    public void observeNumber(long number) {
        highestNumber = Math.max(highestNumber, number);
    }

    /**
     * Records a peer's answer to the question for the highest configuration number that it knows.
     *
     * @param number the number in the answer
     * @param askedNanos monotonic time of this process, in nanoseconds, at which the question was sent
     */
    public void confirmNumber(long number, long askedNanos) {
        observeNumber(number);
        confirmedNanos = Math.max(confirmedNanos, askedNanos);
    }

    /**
     * Sets whether this daemon owns the cell. When it loses the cell, all pending orders are dropped.
     *
     * @param owner whether this daemon owns the cell from now on
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void setOwner(boolean owner, long nowNanos) {
        if (!owner) {
            ownerSinceNanos = NEVER;
            pendingOrders.clear();
        } else if (ownerSinceNanos == NEVER) {
            ownerSinceNanos = nowNanos;
        }
    }

    /**
     * Records the state of an engine. Ignored if it was measured before the last recorded state of the same worker.
     *
     * @param state the state that the engine reported
     */
    public void report(EngineState state) {
        EngineState previous = states.get(state.worker());
        if (previous != null && state.measuredNanos() < previous.measuredNanos()) {
            return;
        }
        Fence fence = fences.merge(state.worker(), state.fence(), OrderIssuer::higher);
        states.put(
                state.worker(),
                new EngineState(state.worker(), fence, state.loaded(), state.role(), state.measuredNanos()));
        observeNumber(fence.number());
        PendingOrder pending = pendingOrders.get(state.worker());
        if (pending != null
                && pending.accepted
                && state.measuredNanos() > pending.sinceNanos
                && isEffectVisible(state, pending.order)) {
            pendingOrders.remove(state.worker());
            draining.remove(state.worker());
        }
    }

    /**
     * Records that no requests for the version of an {@link OrderEffect.Drain} run on a worker any more, so that the
     * unload may be issued.
     *
     * @param worker the worker's name
     * @param version the version to be unloaded
     * @param nowNanos current monotonic time in nanoseconds
     * @return the effects to carry out, in order
     */
    public List<OrderEffect> completeDrain(String worker, ModelVersion version, long nowNanos) {
        PendingOrder pending = pendingOrders.get(worker);
        OrderAction unload = new OrderAction.Unload(version);
        if (pending == null || !pending.order.action().equals(unload)) {
            return List.of();
        }
        pending.drained = true;
        return mayIssue(nowNanos) ? issueDrainedOrders(nowNanos) : List.of();
    }

    /**
     * Whether an order may still be written. To be called immediately before its first byte is written.
     *
     * @param order an order from an {@link OrderEffect.Issue}
     * @param nowNanos current monotonic time in nanoseconds
     * @return true if the order is still pending and valid under the present goal, ownership and engine states
     */
    public boolean mayWrite(Order order, long nowNanos) {
        PendingOrder pending = pendingOrders.get(order.worker());
        boolean awaitsWrite = pending != null && pending.order.equals(order) && pending.issued && !pending.accepted;
        if (!awaitsWrite || !mayIssue(nowNanos) || order.fence().number() != goal.number()) {
            return false;
        }
        return OrderPlanner.keepsMinServing(goal, freshStates(nowNanos), pendingByWorker(), order);
    }

    /**
     * Handles the outcome of writing an order.
     *
     * @param order an order from an {@link OrderEffect.Issue}
     * @param answer the engine's answer, or the reason why there is none
     * @param nowNanos current monotonic time in nanoseconds
     */
    public void handleAnswer(Order order, OrderAnswer answer, long nowNanos) {
        if (answer instanceof OrderAnswer.Fenced fenced) {
            observeNumber(fenced.highest().number());
            fences.merge(order.worker(), fenced.highest(), OrderIssuer::higher);
        }
        PendingOrder pending = pendingOrders.get(order.worker());
        if (pending == null || !pending.order.equals(order)) {
            return;
        }
        if (answer instanceof OrderAnswer.Accepted) {
            pending.accepted = true;
            pending.sinceNanos = nowNanos;
        } else {
            // The state must be read again before the next order: a failed order may have reached the engine, and a
            // fenced one shows that the recorded state is outdated.
            pendingOrders.remove(order.worker());
            states.remove(order.worker());
        }
    }

    /**
     * Drops orders whose effect timed out, and plans new ones. To be called every few hundred milliseconds.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the effects to carry out, in order
     */
    public List<OrderEffect> advance(long nowNanos) {
        pendingOrders.values().removeIf(pending -> nowNanos - pending.sinceNanos > settings.effectTimeoutNanos());
        List<OrderEffect> effects = new ArrayList<>();
        resumeCancelledDrains(effects);
        if (!mayIssue(nowNanos)) {
            return effects;
        }
        effects.addAll(issueDrainedOrders(nowNanos));
        OrderPlanner.Plan plan = OrderPlanner.plan(goal, freshStates(nowNanos), pendingByWorker());
        for (Order order : plan.orders()) {
            startOrder(order, nowNanos, effects);
        }
        if (!plan.blocked().equals(blockedWorkers)) {
            blockedWorkers = plan.blocked();
            effects.add(new OrderEffect.Blocked(blockedWorkers));
        }
        return effects;
    }

    /**
     * Whether recent reports of all workers match the goal.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return true if no order is pending and none is left to issue
     */
    public boolean isGoalReached(long nowNanos) {
        if (goal == null || !pendingOrders.isEmpty()) {
            return false;
        }
        Map<String, EngineState> fresh = freshStates(nowNanos);
        OrderPlanner.Plan plan = OrderPlanner.plan(goal, fresh, Map.of());
        return fresh.keySet().containsAll(goal.workers().keySet())
                && plan.orders().isEmpty()
                && plan.blocked().isEmpty();
    }

    private void startOrder(Order order, long nowNanos, List<OrderEffect> effects) {
        if (order.action() instanceof OrderAction.Load) {
            boolean tooEarly = lastLoadNanos != NEVER && nowNanos - lastLoadNanos < settings.loadIntervalNanos();
            if (tooEarly || countPendingLoads() >= settings.maxConcurrentLoads()) {
                return;
            }
            lastLoadNanos = nowNanos;
        }
        if (order.action() instanceof OrderAction.Unload && !isSettled(nowNanos)) {
            // Reports lag, so a copy that is counted as serving may already have been unloaded by the previous owner.
            // Fencing doesn't prevent this: the order of the new owner has the higher token.
            return;
        }
        PendingOrder pending = new PendingOrder(order, nowNanos);
        pendingOrders.put(order.worker(), pending);
        if (order.action() instanceof OrderAction.Unload unload) {
            draining.put(order.worker(), unload.version());
            effects.add(new OrderEffect.Drain(order.worker(), unload.version()));
        } else {
            pending.issued = true;
            effects.add(new OrderEffect.Issue(order));
        }
    }

    /** Resumes workers whose unload is no longer pending; otherwise they would stay idle forever. */
    private void resumeCancelledDrains(List<OrderEffect> effects) {
        draining.entrySet().removeIf(drain -> {
            PendingOrder pending = pendingOrders.get(drain.getKey());
            boolean stillUnloading =
                    pending != null && pending.order.action().equals(new OrderAction.Unload(drain.getValue()));
            if (!stillUnloading) {
                effects.add(new OrderEffect.Resume(drain.getKey(), drain.getValue()));
            }
            return !stillUnloading;
        });
    }

    private List<OrderEffect> issueDrainedOrders(long nowNanos) {
        List<OrderEffect> effects = new ArrayList<>();
        for (PendingOrder pending : pendingOrders.values()) {
            if (pending.drained && !pending.issued && pending.order.fence().number() == goal.number()) {
                pending.issued = true;
                pending.sinceNanos = nowNanos;
                effects.add(new OrderEffect.Issue(pending.order));
            }
        }
        return effects;
    }

    private static Fence higher(Fence first, Fence second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    private boolean mayIssue(long nowNanos) {
        if (goal == null || ownerSinceNanos == NEVER || goal.number() < highestNumber) {
            return false;
        }
        if (confirmedNanos == NEVER || nowNanos - confirmedNanos > settings.maxConfirmationAgeNanos()) {
            return false;
        }
        // If engines don't check fencing tokens, the last orders of the previous owner must be visible in the reports
        // before the first new one is planned. Otherwise both owners change the cell at once, and too few workers serve
        // a model.
        return goal.checksFences() || isSettled(nowNanos);
    }

    private boolean isSettled(long nowNanos) {
        return nowNanos - ownerSinceNanos >= settings.settleNanos();
    }

    private int countPendingLoads() {
        int count = 0;
        for (PendingOrder pending : pendingOrders.values()) {
            if (pending.order.action() instanceof OrderAction.Load) {
                count++;
            }
        }
        return count;
    }

    private Map<String, Order> pendingByWorker() {
        Map<String, Order> orders = new HashMap<>();
        pendingOrders.forEach((worker, pending) -> orders.put(worker, pending.order));
        return orders;
    }

    private Map<String, EngineState> freshStates(long nowNanos) {
        Map<String, EngineState> fresh = new HashMap<>(states);
        Set<String> stale = new HashSet<>();
        fresh.forEach((worker, state) -> {
            if (nowNanos - state.measuredNanos() > settings.maxReportAgeNanos()) {
                stale.add(worker);
            }
        });
        fresh.keySet().removeAll(stale);
        return fresh;
    }

    private static boolean isEffectVisible(EngineState state, Order order) {
        if (order.action() instanceof OrderAction.Load load) {
            return state.loaded().contains(load.version());
        }
        if (order.action() instanceof OrderAction.Unload unload) {
            return !state.loaded().contains(unload.version());
        }
        return state.role().equals(((OrderAction.Role) order.action()).role());
    }
}
