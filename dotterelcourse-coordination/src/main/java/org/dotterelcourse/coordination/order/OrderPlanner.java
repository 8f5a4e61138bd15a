package org.dotterelcourse.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Plans the next orders: a pure function of the goal, the reported states of the engines and the pending orders.
 * Daemons with the same input plan the same orders with the same fencing tokens. Workers are processed in the order of
 * their names, so that two concurrent issuers change the same workers first.
 */
final class OrderPlanner {
    private OrderPlanner() {}

    /**
     * The result of planning.
     *
     * @param orders the orders to issue, at most one for each worker
     * @param blocked names of workers whose unload would leave too few workers that serve the model
     */
    record Plan(List<Order> orders, List<String> blocked) {}

    /**
     * Plans the next orders.
     *
     * @param goal the desired state
     * @param states recent engine states by worker; a worker without one gets no order and counts as serving nothing
     * @param pendingOrders orders whose effect isn't reported yet, by worker; these workers get no further order
     */
    static Plan plan(CellGoal goal, Map<String, EngineState> states, Map<String, Order> pendingOrders) {
        Map<String, Integer> serving = countServing(states, pendingOrders);
        List<Order> orders = new ArrayList<>();
        List<String> blocked = new ArrayList<>();
        goal.workers().forEach((worker, workerGoal) -> {
            EngineState state = states.get(worker);
            if (state == null
                    || pendingOrders.containsKey(worker)
                    || state.fence().number() > goal.number()) {
                return;
            }
            Optional<OrderAction> action = nextAction(workerGoal, state);
            if (action.isEmpty()) {
                return;
            }
            if (action.get() instanceof OrderAction.Unload unload && !reserveUnload(goal, state, unload, serving)) {
                blocked.add(worker);
                return;
            }
            orders.add(new Order(worker, state.fence().next(goal.number()), action.get()));
        });
        return new Plan(orders, blocked);
    }

    /**
     * Whether an order that was planned earlier is still valid under the current states. An unload that was planned
     * from older reports may leave too few workers that serve the model if an engine or another issuer has unloaded
     * copies since.
     *
     * @param pendingOrders the pending orders by worker, including this one
     */
    static boolean keepsMinServing(
            CellGoal goal, Map<String, EngineState> states, Map<String, Order> pendingOrders, Order order) {
        EngineState state = states.get(order.worker());
        if (!(order.action() instanceof OrderAction.Unload unload) || state == null) {
            return state != null;
        }
        String model = unload.version().model();
        int serving = countServing(states, pendingOrders).getOrDefault(model, 0);
        return serving >= goal.minServing().getOrDefault(model, 0);
    }

    /** The first difference to the goal: the role, then a missing version if a slot is free, then a surplus version. */
    private static Optional<OrderAction> nextAction(WorkerGoal goal, EngineState state) {
        if (!goal.role().isEmpty() && !goal.role().equals(state.role())) {
            return Optional.of(new OrderAction.Role(goal.role()));
        }
        SortedSet<ModelVersion> missing = new TreeSet<>(goal.versions());
        missing.removeAll(state.loaded());
        if (!missing.isEmpty() && state.loaded().size() < goal.slots()) {
            return Optional.of(new OrderAction.Load(missing.first()));
        }
        SortedSet<ModelVersion> surplus = new TreeSet<>(state.loaded());
        surplus.removeAll(goal.versions());
        return surplus.isEmpty() ? Optional.empty() : Optional.of(new OrderAction.Unload(surplus.first()));
    }

    /** If enough other workers serve the model, subtracts this worker from the count and returns true. */
    private static boolean reserveUnload(
            CellGoal goal, EngineState state, OrderAction.Unload unload, Map<String, Integer> serving) {
        String model = unload.version().model();
        long loadedVersions = state.loaded().stream()
                .filter(version -> version.model().equals(model))
                .count();
        if (loadedVersions > 1) {
            return true;
        }
        int remaining = serving.getOrDefault(model, 0) - 1;
        if (remaining < goal.minServing().getOrDefault(model, 0)) {
            return false;
        }
        serving.put(model, remaining);
        return true;
    }

    /**
     * Counts for each model the workers that certainly serve it. A version with a pending unload isn't counted,
     * although the lagging report still contains it; a version that is being loaded isn't counted yet.
     */
    private static Map<String, Integer> countServing(
            Map<String, EngineState> states, Map<String, Order> pendingOrders) {
        Map<String, Integer> serving = new HashMap<>();
        for (EngineState state : states.values()) {
            SortedSet<ModelVersion> counted = new TreeSet<>(state.loaded());
            Order order = pendingOrders.get(state.worker());
            if (order != null && order.action() instanceof OrderAction.Unload unload) {
                counted.remove(unload.version());
            }
            counted.stream()
                    .map(ModelVersion::model)
                    .distinct()
                    .forEach(model -> serving.merge(model, 1, Integer::sum));
        }
        return serving;
    }
}
