package org.dotterelcourse.daemon.orders;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.coordination.order.EngineState;
import org.dotterelcourse.coordination.order.Order;
import org.dotterelcourse.coordination.order.OrderAnswer;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.cells.CellWorkers;
import org.dotterelcourse.daemon.cells.LoadPoller;
import org.dotterelcourse.daemon.cells.OwnedGrants;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import org.dotterelcourse.daemon.upstream.EngineControl;

/** Orders the engines of this daemon's own cells to have what the configuration in force says. */
public final class EngineOrders implements Service {
    /** The name that it is found by. */
    public static final ServiceName<EngineOrders> NAME = new ServiceName<>("engine-orders", EngineOrders.class);

    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration CHECK_PERIOD = Duration.ofMillis(700);

    private final EngineControl control;
    private final Map<String, CellOrders> cells = new HashMap<>();
    private ControlLoop loop;
    private OwnedGrants grants;
    private ConfigurationStore store;
    private AuditTrail audit;
    private NumberChecks checks;

    /**
     * Makes a service that has ordered nothing.
     *
     * @param control writes orders
     */
    public EngineOrders(EngineControl control) {
        this.control = control;
    }

    @Override
    public ServiceName<EngineOrders> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(
                ControlLoop.NAME,
                OwnedGrants.NAME,
                LoadPoller.NAME,
                ConfigurationStore.NAME,
                Peers.NAME,
                AuditTrail.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(ControlLoop.NAME);
        grants = kernel.find(OwnedGrants.NAME);
        store = kernel.find(ConfigurationStore.NAME);
        audit = kernel.find(AuditTrail.NAME);
        checks = new NumberChecks(kernel.find(Peers.NAME), store, loop, this::confirmed);
        kernel.find(LoadPoller.NAME).onState(this::report);
        loop.schedulePeriodically(CHECK_PERIOD, checks::ask);
        loop.schedulePeriodically(TICK, this::tick);
        return List.of();
    }

    @Override
    public void stop() {
        // The control loop ends the ticks; the next owner reads the engines' states.
    }

    private void confirmed(long number, long askedNanos) {
        cells.values().forEach(cell -> cell.issuer().confirmNumber(number, askedNanos));
    }

    private void report(String cell, EngineState state) {
        CellOrders orders = cells.get(cell);
        if (orders != null) {
            orders.report(state);
        }
    }

    private void tick() {
        store.inForce().ifPresent(this::tick);
    }

    private void tick(Configuration configuration) {
        Set<String> owned = new HashSet<>();
        for (CellWorkers cell : grants.ownedCells()) {
            if (cell.upstream().kind() == Upstream.Kind.ENGINE
                    && cell.upstream().loadsPerMinute() > 0) {
                owned.add(cell.key());
                tick(configuration, cell);
            }
        }
        cells.forEach((key, cell) -> {
            if (!owned.contains(key)) {
                cell.issuer().setOwner(false, loop.nowNanos());
            }
        });
    }

    private void tick(Configuration configuration, CellWorkers cell) {
        long nowNanos = loop.nowNanos();
        CellOrders orders = cells.computeIfAbsent(
                cell.key(),
                key -> new CellOrders(
                        cell.upstream(), grants.cellsOf(cell.upstream().name())));
        orders.issuer().setOwner(true, nowNanos);
        orders.goal(configuration, cell.upstream(), cell.workers().keySet());
        long lastGrant = grants.lastGrant(cell.key());
        orders.take(orders.issuer().advance(nowNanos), lastGrant).forEach(order -> write(cell, orders, order));
        orders.drained((worker, mark) -> grants.hasGrantUpTo(cell.key(), worker, mark), nowNanos)
                .forEach(order -> write(cell, orders, order));
    }

    private void write(CellWorkers cell, CellOrders orders, Order order) {
        Worker worker = cell.workers().get(order.worker());
        // Between planning and writing this process may have been paused, and the cell have got another owner.
        if (worker == null || !orders.issuer().mayWrite(order, loop.nowNanos())) {
            orders.answered(order, new OrderAnswer.NotWritten(), loop.nowNanos());
            return;
        }
        audit.add(
                AuditEvent.Kind.ORDER,
                order.worker(),
                "configuration " + order.fence().number() + ", step "
                        + order.fence().step(),
                "",
                CellOrders.describe(order.action()));
        control.write(worker.address(), order)
                .subscribe(answer -> loop.execute(() -> orders.answered(order, answer, loop.nowNanos())));
    }
}
