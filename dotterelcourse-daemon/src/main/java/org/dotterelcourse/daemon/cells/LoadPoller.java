package org.dotterelcourse.daemon.cells;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.coordination.order.EngineState;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.upstream.LoadReport;
import org.dotterelcourse.daemon.upstream.LoadReports;
import org.dotterelcourse.policy.cell.WorkerReport;

/**
 * Asks the engines of this daemon's own cells for their load. Only an owner needs it: its grants tell what it sent, the
 * reports tell what else the engines do.
 */
public final class LoadPoller implements Service {
    /** The name that it is found by. */
    public static final ServiceName<LoadPoller> NAME = new ServiceName<>("load-poller", LoadPoller.class);

    /** About the lag of the reports themselves; asking more often gets the same answer again. */
    private static final Duration PERIOD = Duration.ofMillis(500);

    private final LoadReports reports;
    private ControlLoop loop;
    private OwnedGrants grants;
    private StateListener listener = (cell, state) -> {};

    /**
     * Makes a poller.
     *
     * @param reports reads reports
     */
    public LoadPoller(LoadReports reports) {
        this.reports = reports;
    }

    @Override
    public ServiceName<LoadPoller> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ControlLoop.NAME, OwnedGrants.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(ControlLoop.NAME);
        grants = kernel.find(OwnedGrants.NAME);
        loop.schedulePeriodically(PERIOD, this::poll);
        return List.of();
    }

    @Override
    public void stop() {
        // The control loop ends the polling.
    }

    /**
     * Calls back on the control loop with each state that an engine of an own cell reports.
     *
     * @param next must not block; there is one listener
     */
    public void onState(StateListener next) {
        listener = next;
    }

    /** Hears of engines' states. */
    @FunctionalInterface
    public interface StateListener {
        /**
         * An engine has reported.
         *
         * @param cell its cell
         * @param state what it says
         */
        void reported(String cell, EngineState state);
    }

    private void poll() {
        for (CellWorkers cell : grants.ownedCells()) {
            if (cell.upstream().kind() == Upstream.Kind.ENGINE) {
                cell.workers().values().forEach(worker -> poll(cell.key(), worker));
            }
        }
    }

    private void poll(String cell, Worker worker) {
        reports.read(worker.address()).subscribe(report -> loop.execute(() -> reported(cell, worker, report)));
    }

    private void reported(String cell, Worker worker, LoadReport report) {
        WorkerReport load = onOurClock(worker, report);
        grants.report(cell, load);
        listener.reported(
                cell,
                new EngineState(worker.name(), report.fence(), report.loaded(), report.role(), load.measuredNanos()));
    }

    /** The engine's clock may be off by any amount; an age that can't be true is taken for none. */
    private WorkerReport onOurClock(Worker worker, LoadReport report) {
        long ageMillis = Math.max(0, System.currentTimeMillis() - report.reportedAtMillis());
        long measuredNanos = loop.nowNanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        return new WorkerReport(worker.name(), measuredNanos, report.running(), report.waiting());
    }
}
