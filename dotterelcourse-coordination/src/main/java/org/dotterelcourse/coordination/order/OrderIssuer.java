package org.dotterelcourse.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Issues the orders for one cell while this daemon owns it.
 *
 * <p>An order may be written only if the configuration in force here is the highest that this daemon has heard of, and
 * a peer has confirmed so recently. The confirmation counts from when the peer was asked, on this daemon's own clock,
 * not from when the answer was read: a process that wakes from a pause finds old messages in its sockets, and would
 * otherwise take them for news and order what the fleet has moved on from. One would notice engines that go back to an
 * older version and forth again.
 *
 * <p>The state is derived (the goal, from the configuration) and reconstructible (the engines' states, by reading them).
 */
public final class OrderIssuer {
    private static final long NEVER = Long.MIN_VALUE;

    private final OrderSettings settings;
    private final Map<String, EngineState> states = new HashMap<>();
    private final Map<String, Fence> fences = new HashMap<>();
    private final Map<String, UnderWay> underWay = new HashMap<>();
    private final Map<String, ModelVersion> draining = new TreeMap<>();
    private CellGoal goal;
    private long highestHeard;
    private long confirmedNanos = NEVER;
    private long ownerSinceNanos = NEVER;
    private long lastLoadNanos = NEVER;
    private List<String> blocked = List.of();

    /**
     * Makes an issuer that owns nothing.
     *
     * @param settings times and bounds
     */
    public OrderIssuer(OrderSettings settings) {
        this.settings = settings;
    }

    /** An order from its planning until its effect is reported. */
    private static final class UnderWay {
        private final Order order;
        private boolean drained;
        private boolean issued;
        private boolean accepted;
        private long sinceNanos;

        UnderWay(Order order, long nowNanos) {
            this.order = order;
            this.sinceNanos = nowNanos;
        }
    }

    /**
     * A configuration is in force here. Older ones than the last are passed over.
     *
     * @param inForce what it says of this cell
     */
    public void updateGoal(CellGoal inForce) {
        if (goal != null && inForce.number() <= goal.number()) {
            return;
        }
        goal = inForce;
        heard(inForce.number());
        // What was planned under the old number but not sent is planned anew; what was sent is awaited.
        underWay.values().removeIf(order -> !order.issued);
    }

    /**
     * Somebody spoke of a configuration's number.
     *
     * @param number the number
     */
    public void heard(long number) {
        highestHeard = Math.max(highestHeard, number);
    }

    /**
     * A peer answered a question of this daemon with the highest number that it knows.
     *
     * @param number the number
     * @param askedNanos when the question was sent, on this daemon's clock
     */
    public void confirmNumber(long number, long askedNanos) {
        heard(number);
        confirmedNanos = Math.max(confirmedNanos, askedNanos);
    }

    /**
     * This daemon owns the cell from now on, or no longer does.
     *
     * @param owner whether it does
     * @param nowNanos the time
     */
    public void setOwner(boolean owner, long nowNanos) {
        if (!owner) {
            ownerSinceNanos = NEVER;
            underWay.clear();
        } else if (ownerSinceNanos == NEVER) {
            ownerSinceNanos = nowNanos;
        }
    }

    /**
     * An engine's state has been read.
     *
     * @param state the state
     */
    public void report(EngineState state) {
        EngineState known = states.get(state.worker());
        if (known != null && state.measuredNanos() < known.measuredNanos()) {
            return;
        }
        Fence fence = fences.merge(state.worker(), state.fence(), OrderIssuer::higher);
        states.put(
                state.worker(),
                new EngineState(state.worker(), fence, state.loaded(), state.role(), state.measuredNanos()));
        heard(fence.number());
        UnderWay order = underWay.get(state.worker());
        if (order != null && order.accepted && state.measuredNanos() > order.sinceNanos && shows(state, order.order)) {
            underWay.remove(state.worker());
            draining.remove(state.worker());
        }
    }

    /**
     * A worker has no work left for the version that {@link OrderEffect.Drain} named.
     *
     * @param worker the worker's name
     * @param version the version
     * @param nowNanos the time
     * @return what to do
     */
    public List<OrderEffect> completeDrain(String worker, ModelVersion version, long nowNanos) {
        UnderWay waiting = underWay.get(worker);
        OrderAction unload = new OrderAction.Unload(version);
        if (waiting == null || !waiting.order.action().equals(unload)) {
            return List.of();
        }
        waiting.drained = true;
        return mayIssue(nowNanos) ? issueDrained(nowNanos) : List.of();
    }

    /**
     * Whether an order may be written now. To be called right before its first byte is.
     *
     * @param order the order
     * @param nowNanos the time
     * @return true if it is still this issuer's to give
     */
    public boolean mayWrite(Order order, long nowNanos) {
        UnderWay current = underWay.get(order.worker());
        boolean pending = current != null && current.order.equals(order) && current.issued && !current.accepted;
        if (!pending || !mayIssue(nowNanos) || order.fence().number() != goal.number()) {
            return false;
        }
        return OrderPlanner.stillServed(goal, fresh(nowNanos), orders(), order);
    }

    /**
     * An order was written, or not.
     *
     * @param order the order
     * @param answer what came of it
     * @param nowNanos the time
     */
    public void handleAnswer(Order order, OrderAnswer answer, long nowNanos) {
        if (answer instanceof OrderAnswer.Fenced fenced) {
            heard(fenced.highest().number());
            fences.merge(order.worker(), fenced.highest(), OrderIssuer::higher);
        }
        UnderWay current = underWay.get(order.worker());
        if (current == null || !current.order.equals(order)) {
            return;
        }
        if (answer instanceof OrderAnswer.Accepted) {
            current.accepted = true;
            current.sinceNanos = nowNanos;
        } else {
            // The state is read again before the next order: a failed one may have arrived, and a fenced one means that
            // the state is not what it seemed.
            underWay.remove(order.worker());
            states.remove(order.worker());
        }
    }

    /**
     * Time has passed. To be called every few hundred milliseconds.
     *
     * @param nowNanos the time
     * @return what to do
     */
    public List<OrderEffect> advance(long nowNanos) {
        underWay.values().removeIf(order -> nowNanos - order.sinceNanos > settings.effectTimeoutNanos());
        List<OrderEffect> effects = new ArrayList<>();
        resume(effects);
        if (!mayIssue(nowNanos)) {
            return effects;
        }
        effects.addAll(issueDrained(nowNanos));
        OrderPlanner.Plan plan = OrderPlanner.plan(goal, fresh(nowNanos), orders());
        for (Order order : plan.orders()) {
            start(order, nowNanos, effects);
        }
        if (!plan.blocked().equals(blocked)) {
            blocked = plan.blocked();
            effects.add(new OrderEffect.Blocked(blocked));
        }
        return effects;
    }

    /**
     * Whether the cell is as the goal says, by fresh reports.
     *
     * @param nowNanos the time
     * @return true if no order is under way or left to give
     */
    public boolean reached(long nowNanos) {
        if (goal == null || !underWay.isEmpty()) {
            return false;
        }
        Map<String, EngineState> fresh = fresh(nowNanos);
        OrderPlanner.Plan plan = OrderPlanner.plan(goal, fresh, Map.of());
        return fresh.keySet().containsAll(goal.workers().keySet())
                && plan.orders().isEmpty()
                && plan.blocked().isEmpty();
    }

    private void start(Order order, long nowNanos, List<OrderEffect> effects) {
        if (order.action() instanceof OrderAction.Load) {
            boolean early = lastLoadNanos != NEVER && nowNanos - lastLoadNanos < settings.loadIntervalNanos();
            if (early || loading() >= settings.maxLoading()) {
                return;
            }
            lastLoadNanos = nowNanos;
        }
        if (order.action() instanceof OrderAction.Unload && !settled(nowNanos)) {
            // What the old owner unloaded last doesn't show in the lagging reports yet, so a copy that is counted as
            // serving may be gone. A fence doesn't help: the new owner's order is above the old one's.
            return;
        }
        UnderWay started = new UnderWay(order, nowNanos);
        underWay.put(order.worker(), started);
        if (order.action() instanceof OrderAction.Unload unload) {
            draining.put(order.worker(), unload.version());
            effects.add(new OrderEffect.Drain(order.worker(), unload.version()));
        } else {
            started.issued = true;
            effects.add(new OrderEffect.Issue(order));
        }
    }

    /** Gives work back to workers whose unloading was given up, or they would stand idle for good. */
    private void resume(List<OrderEffect> effects) {
        draining.entrySet().removeIf(each -> {
            UnderWay order = underWay.get(each.getKey());
            boolean unloads = order != null && order.order.action().equals(new OrderAction.Unload(each.getValue()));
            if (!unloads) {
                effects.add(new OrderEffect.Resume(each.getKey(), each.getValue()));
            }
            return !unloads;
        });
    }

    private List<OrderEffect> issueDrained(long nowNanos) {
        List<OrderEffect> effects = new ArrayList<>();
        for (UnderWay each : underWay.values()) {
            if (each.drained && !each.issued && each.order.fence().number() == goal.number()) {
                each.issued = true;
                each.sinceNanos = nowNanos;
                effects.add(new OrderEffect.Issue(each.order));
            }
        }
        return effects;
    }

    private static Fence higher(Fence one, Fence other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private boolean mayIssue(long nowNanos) {
        if (goal == null || ownerSinceNanos == NEVER || goal.number() < highestHeard) {
            return false;
        }
        if (confirmedNanos == NEVER || nowNanos - confirmedNanos > settings.maxConfirmationAgeNanos()) {
            return false;
        }
        // Where engines take any order, the old owner's last ones must have arrived and shown in the reports before the
        // first new one is planned; or both work on the cell at once, which shows as too few serving copies.
        return goal.checksFences() || settled(nowNanos);
    }

    private boolean settled(long nowNanos) {
        return nowNanos - ownerSinceNanos >= settings.settleNanos();
    }

    private int loading() {
        int loading = 0;
        for (UnderWay order : underWay.values()) {
            if (order.order.action() instanceof OrderAction.Load) {
                loading++;
            }
        }
        return loading;
    }

    private Map<String, Order> orders() {
        Map<String, Order> orders = new HashMap<>();
        underWay.forEach((worker, each) -> orders.put(worker, each.order));
        return orders;
    }

    private Map<String, EngineState> fresh(long nowNanos) {
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

    private static boolean shows(EngineState state, Order order) {
        if (order.action() instanceof OrderAction.Load load) {
            return state.loaded().contains(load.version());
        }
        if (order.action() instanceof OrderAction.Unload unload) {
            return !state.loaded().contains(unload.version());
        }
        return state.role().equals(((OrderAction.Role) order.action()).role());
    }
}
