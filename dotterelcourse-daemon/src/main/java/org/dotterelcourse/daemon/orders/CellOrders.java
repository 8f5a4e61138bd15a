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

/** The orders of one cell: what its engines are to have, and what is under way. For the control loop only. */
final class CellOrders {
    /** An engine holds the version that it serves and the one that is to follow it. */
    private static final int SLOTS = 2;

    /** A quarter of a cell may be without a model while it is rolled; the rest has to carry the load. */
    private static final double SERVING_SHARE = 0.75;

    private static final long NANOS_PER_MINUTE = TimeUnit.MINUTES.toNanos(1);
    private static final int MAX_LOADING = 4;

    private final OrderIssuer issuer;
    private final Map<String, Draining> draining = new HashMap<>();

    /** A version that is about to be unloaded, and the newest grant that may still use it. */
    private record Draining(ModelVersion version, long mark) {}

    CellOrders(Upstream upstream, int cells) {
        OrderSettings usual = OrderSettings.defaults();
        long interval = NANOS_PER_MINUTE * cells / Math.max(1, upstream.loadsPerMinute());
        this.issuer = new OrderIssuer(new OrderSettings(
                usual.maxConfirmationAgeNanos(),
                usual.settleNanos(),
                usual.maxReportAgeNanos(),
                usual.effectTimeoutNanos(),
                interval,
                MAX_LOADING));
    }

    OrderIssuer issuer() {
        return issuer;
    }

    /** Every worker of the cell serves every model version that a class of its upstream names. */
    void goal(Configuration configuration, Upstream upstream, Set<String> workers) {
        SortedSet<ModelVersion> versions = new TreeSet<>();
        Map<String, Integer> minServing = new HashMap<>();
        for (RequestClass each : configuration.classes()) {
            if (each.upstream().equals(upstream.name()) && !each.model().isEmpty()) {
                versions.add(new ModelVersion(each.model(), each.version()));
                minServing.put(each.model(), (int) Math.ceil(SERVING_SHARE * workers.size()));
            }
        }
        SortedMap<String, WorkerGoal> goals = new TreeMap<>();
        workers.forEach(worker -> goals.put(worker, new WorkerGoal("", versions, versions.size() + SLOTS - 1)));
        boolean checked = upstream.fencing() == Upstream.Fencing.CHECKED;
        issuer.updateGoal(new CellGoal(configuration.number(), goals, minServing, checked));
    }

    void report(EngineState state) {
        issuer.report(state);
    }

    /**
     * Takes note of what is to be drained, and returns the orders that are to be written.
     *
     * <p>New requests name the version in force, and an engine that is to lose a version has that one loaded already; so
     * only what was granted until now can still use the old one.
     *
     * @param effects what the issuer wants
     * @param lastGrant the newest grant of the cell
     * @return the orders
     */
    List<Order> take(List<OrderEffect> effects, long lastGrant) {
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
     * Tells the issuer which workers run nothing any more that may use the version they are to lose.
     *
     * @param cell asked what runs
     * @param nowNanos the time
     * @return the orders that follow
     */
    List<Order> drained(RunningGrants cell, long nowNanos) {
        List<Order> orders = new ArrayList<>();
        for (Map.Entry<String, Draining> each : Map.copyOf(draining).entrySet()) {
            if (!cell.hasGrantUpTo(each.getKey(), each.getValue().mark())) {
                draining.remove(each.getKey());
                orders.addAll(
                        take(issuer.completeDrain(each.getKey(), each.getValue().version(), nowNanos), 0));
            }
        }
        return orders;
    }

    /** Tells what runs in a cell. */
    interface RunningGrants {
        boolean hasGrantUpTo(String worker, long mark);
    }

    void answered(Order order, OrderAnswer answer, long nowNanos) {
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
