package org.dotterelcourse.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Says which orders come next: a pure function of the goal, the engines' reported states and the orders whose effect
 * isn't reported yet. Two daemons that know the same get the same orders with the same fencing numbers, and workers are
 * taken in the order of their names, so that two issuers at once change the same workers first.
 */
final class OrderPlanner {
    private OrderPlanner() {}

    /**
     * The result of planning.
     *
     * @param orders at most one for each worker
     * @param blocked workers that have something to unload, but not without leaving too few serving copies
     */
    record Plan(List<Order> orders, List<String> blocked) {}

    /**
     * Plans.
     *
     * @param goal what is to be
     * @param states fresh states only, by worker; a worker without one gets no order and counts as serving nothing
     * @param underWay orders whose effect isn't reported yet, by worker; such a worker gets no further order
     */
    static Plan plan(CellGoal goal, Map<String, EngineState> states, Map<String, Order> underWay) {
        Map<String, Integer> serving = serving(states, underWay);
        List<Order> orders = new ArrayList<>();
        List<String> blocked = new ArrayList<>();
        goal.workers().forEach((worker, wanted) -> {
            EngineState state = states.get(worker);
            if (state == null || underWay.containsKey(worker) || state.fence().number() > goal.number()) {
                return;
            }
            Optional<OrderAction> action = action(wanted, state);
            if (action.isEmpty()) {
                return;
            }
            if (action.get() instanceof OrderAction.Unload unload && !mayUnload(goal, state, unload, serving)) {
                blocked.add(worker);
                return;
            }
            orders.add(new Order(worker, state.fence().next(goal.number()), action.get()));
        });
        return new Plan(orders, blocked);
    }

    /**
     * Whether an order that was planned before may still be given, by what is known now. An unloading that was planned from
     * older reports may leave too few copies if an engine or another issuer has taken some away since.
     *
     * @param underWay the orders under way, this one included
     */
    static boolean stillServed(
            CellGoal goal, Map<String, EngineState> states, Map<String, Order> underWay, Order order) {
        EngineState state = states.get(order.worker());
        if (!(order.action() instanceof OrderAction.Unload unload) || state == null) {
            return state != null;
        }
        String model = unload.version().model();
        int serving = serving(states, underWay).getOrDefault(model, 0);
        return serving >= goal.minServing().getOrDefault(model, 0);
    }

    /** The first thing that differs: the role, then loading where there is room, then unloading. */
    private static Optional<OrderAction> action(WorkerGoal goal, EngineState state) {
        if (!goal.role().isEmpty() && !goal.role().equals(state.role())) {
            return Optional.of(new OrderAction.Role(goal.role()));
        }
        SortedSet<ModelVersion> missing = new TreeSet<>(goal.versions());
        missing.removeAll(state.loaded());
        if (!missing.isEmpty() && state.loaded().size() < goal.slots()) {
            return Optional.of(new OrderAction.Load(missing.first()));
        }
        SortedSet<ModelVersion> extra = new TreeSet<>(state.loaded());
        extra.removeAll(goal.versions());
        return extra.isEmpty() ? Optional.empty() : Optional.of(new OrderAction.Unload(extra.first()));
    }

    /** Checks that enough workers still serve the model, and counts this one out if they do. */
    private static boolean mayUnload(
            CellGoal goal, EngineState state, OrderAction.Unload unload, Map<String, Integer> serving) {
        String model = unload.version().model();
        long versionsHere = state.loaded().stream()
                .filter(version -> version.model().equals(model))
                .count();
        if (versionsHere > 1) {
            return true;
        }
        int left = serving.getOrDefault(model, 0) - 1;
        if (left < goal.minServing().getOrDefault(model, 0)) {
            return false;
        }
        serving.put(model, left);
        return true;
    }

    /**
     * How many workers serve each model for sure. A version that is being unloaded no longer counts although the lagging
     * report still shows it; one that is being loaded doesn't count yet.
     */
    private static Map<String, Integer> serving(Map<String, EngineState> states, Map<String, Order> underWay) {
        Map<String, Integer> serving = new HashMap<>();
        for (EngineState state : states.values()) {
            SortedSet<ModelVersion> sure = new TreeSet<>(state.loaded());
            Order order = underWay.get(state.worker());
            if (order != null && order.action() instanceof OrderAction.Unload unload) {
                sure.remove(unload.version());
            }
            sure.stream().map(ModelVersion::model).distinct().forEach(model -> serving.merge(model, 1, Integer::sum));
        }
        return serving;
    }
}
