package org.dotterelcourse.daemon.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.coordination.order.CellGoal;
import org.dotterelcourse.coordination.order.EngineState;
import org.dotterelcourse.coordination.order.ModelVersion;
import org.dotterelcourse.coordination.order.Order;
import org.dotterelcourse.coordination.order.OrderAction;
import org.dotterelcourse.coordination.order.OrderAnswer;
import org.dotterelcourse.coordination.order.OrderEffect;
import org.dotterelcourse.coordination.order.OrderIssuer;
import org.dotterelcourse.coordination.order.OrderSettings;
import org.dotterelcourse.coordination.order.WorkerGoal;

/**
 * Plans the orders for the engines of one cell and tracks the workers that are being drained. Not thread-safe; used on the
 * control loop only.
 */
final class CellOrders {
    /** An engine holds the version that it serves and the next one during a rollout. */
    private static final int VERSIONS_PER_MODEL = 2;

    /** Fraction of the workers that must serve a model during a rollout, because they have to carry the whole load. */
    private static final double MIN_SERVING_FRACTION = 0.75;

    private static final long NANOS_PER_MINUTE = TimeUnit.MINUTES.toNanos(1);
    private static final int MAX_CONCURRENT_LOADS = 4;

    private final OrderIssuer issuer;
    private final Map<String, Draining> draining = new HashMap<>();

    /** A version that is about to be unloaded, and the number of the latest grant that may still use it. */
    private record Draining(ModelVersion version, long lastGrant) {}

    CellOrders(Upstream upstream, int cells) {
        OrderSettings defaults = OrderSettings.defaults();
        long loadIntervalNanos = NANOS_PER_MINUTE * cells / Math.max(1, upstream.loadsPerMinute());
        this.issuer = new OrderIssuer(new OrderSettings(
                defaults.maxConfirmationAgeNanos(),
                defaults.settleNanos(),
                defaults.maxReportAgeNanos(),
                defaults.effectTimeoutNanos(),
                loadIntervalNanos,
                MAX_CONCURRENT_LOADS));
    }

    OrderIssuer issuer() {
        return issuer;
    }

    /** Sets the goal: every worker of the cell serves every model version used by a request class of the upstream. */
    void updateGoal(Configuration configuration, Upstream upstream, Set<String> workers) {
        SortedSet<ModelVersion> versions = new TreeSet<>();
        Map<String, Integer> minServing = new HashMap<>();
        for (RequestClass requestClass : configuration.classes()) {
            if (requestClass.upstream().equals(upstream.name())
                    && !requestClass.model().isEmpty()) {
                versions.add(new ModelVersion(requestClass.model(), requestClass.version()));
                minServing.put(requestClass.model(), (int) Math.ceil(MIN_SERVING_FRACTION * workers.size()));
            }
        }
        SortedMap<String, WorkerGoal> goals = new TreeMap<>();
        workers.forEach(
                worker -> goals.put(worker, new WorkerGoal("", versions, versions.size() + VERSIONS_PER_MODEL - 1)));
        boolean checksFencing = upstream.fencing() == Upstream.Fencing.CHECKED;
        issuer.updateGoal(new CellGoal(configuration.number(), goals, minServing, checksFencing));
    }

    void recordState(EngineState state) {
        issuer.report(state);
    }

    /**
     * Starts and cancels drains as planned by the issuer, and returns the orders to be written.
     *
     * <p>New requests use the active version, which an engine has loaded before another version is unloaded from it.
     * Therefore only requests granted up to now can still use the old version.
     *
     * @param effects the effects returned by the issuer
     * @param lastGrant the number of the latest grant of the cell
     * @return the orders to be written to the engines
     */
    List<Order> apply(List<OrderEffect> effects, long lastGrant) {
        List<Order> orders = new ArrayList<>();
        for (OrderEffect effect : effects) {
            if (effect instanceof OrderEffect.Drain drain) {
                draining.put(drain.worker(), new Draining(drain.version(), lastGrant));
            } else if (effect instanceof OrderEffect.Resume resume) {
                draining.remove(resume.worker());
            } else if (effect instanceof OrderEffect.Issue issue) {
                orders.add(issue.order());
            }
        }
        return orders;
    }

    /**
     * Reports to the issuer the drained workers that no longer run a request that may use the version to be unloaded.
     *
     * @param grants the active grants of the cell
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting orders to be written to the engines
     */
    List<Order> finishDrains(ActiveGrants grants, long nowNanos) {
        List<Order> orders = new ArrayList<>();
        for (Map.Entry<String, Draining> drain : Map.copyOf(draining).entrySet()) {
            if (!grants.hasGrantUpTo(drain.getKey(), drain.getValue().lastGrant())) {
                draining.remove(drain.getKey());
                orders.addAll(apply(
                        issuer.completeDrain(drain.getKey(), drain.getValue().version(), nowNanos), 0));
            }
        }
        return orders;
    }

    /** The active grants of a cell. */
    interface ActiveGrants {
        boolean hasGrantUpTo(String worker, long lastGrant);
    }

    void recordAnswer(Order order, OrderAnswer answer, long nowNanos) {
        issuer.handleAnswer(order, answer, nowNanos);
    }

    static String describe(OrderAction action) {
        if (action instanceof OrderAction.Load load) {
            return "load " + load.version().model() + " " + load.version().version();
        }
        if (action instanceof OrderAction.Unload unload) {
            return "unload " + unload.version().model() + " " + unload.version().version();
        }
        return "role " + ((OrderAction.Role) action).role();
    }
}
