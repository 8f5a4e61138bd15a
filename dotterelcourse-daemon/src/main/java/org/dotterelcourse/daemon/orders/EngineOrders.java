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

/** Orders the engines in the cells that this daemon owns to load the models of the active configuration. */
public final class EngineOrders implements Service {
    /** The service name under which the kernel registers the engine orders. */
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
     * Creates the service.
     *
     * @param control writes orders to engines
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
        checks = new NumberChecks(kernel.find(Peers.NAME), store, loop, this::onNumberConfirmed);
        kernel.find(LoadPoller.NAME).onState(this::onEngineState);
        loop.schedulePeriodically(CHECK_PERIOD, checks::sendChecks);
        loop.schedulePeriodically(TICK, this::tick);
        return List.of();
    }

    @Override
    public void stop() {
        // The ticks end with the control loop; the next owner reads the states of the engines.
    }

    private void onNumberConfirmed(long number, long sentNanos) {
        cells.values().forEach(cell -> cell.issuer().confirmNumber(number, sentNanos));
    }

    private void onEngineState(String cell, EngineState state) {
        CellOrders orders = cells.get(cell);
        if (orders != null) {
            orders.recordState(state);
        }
    }

    private void tick() {
        store.inForce().ifPresent(this::updateCells);
    }

    private void updateCells(Configuration configuration) {
        Set<String> ownedKeys = new HashSet<>();
        for (CellWorkers cell : grants.ownedCells()) {
            if (cell.upstream().kind() == Upstream.Kind.ENGINE
                    && cell.upstream().loadsPerMinute() > 0) {
                ownedKeys.add(cell.key());
                updateCell(configuration, cell);
            }
        }
        cells.forEach((key, cell) -> {
            if (!ownedKeys.contains(key)) {
                cell.issuer().setOwner(false, loop.nowNanos());
            }
        });
    }

    private void updateCell(Configuration configuration, CellWorkers cell) {
        long nowNanos = loop.nowNanos();
        CellOrders orders = cells.computeIfAbsent(
                cell.key(),
                key -> new CellOrders(
                        cell.upstream(), grants.cellCount(cell.upstream().name())));
        orders.issuer().setOwner(true, nowNanos);
        orders.updateGoal(configuration, cell.upstream(), cell.workers().keySet());
        long lastGrant = grants.lastGrant(cell.key());
        orders.apply(orders.issuer().advance(nowNanos), lastGrant).forEach(order -> writeOrder(cell, orders, order));
        orders.finishDrains((worker, grantNumber) -> grants.hasGrantUpTo(cell.key(), worker, grantNumber), nowNanos)
                .forEach(order -> writeOrder(cell, orders, order));
    }

    private void writeOrder(CellWorkers cell, CellOrders orders, Order order) {
        Worker worker = cell.workers().get(order.worker());
        // If this process was paused between planning and writing, the cell may have another owner by now.
        if (worker == null || !orders.issuer().mayWrite(order, loop.nowNanos())) {
            orders.recordAnswer(order, new OrderAnswer.NotWritten(), loop.nowNanos());
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
                .subscribe(answer -> loop.execute(() -> orders.recordAnswer(order, answer, loop.nowNanos())));
    }
}
