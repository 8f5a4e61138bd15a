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
 * Periodically polls the load of the engines in the cells that this daemon owns. Only the owner needs the reports: it
 * knows the load from its own grants, and the reports add the load from other sources.
 */
public final class LoadPoller implements Service {
    /** The service name under which the kernel registers the poller. */
    public static final ServiceName<LoadPoller> NAME = new ServiceName<>("load-poller", LoadPoller.class);

    /** Matches the approximate lag of the load reports; polling more often returns the same report again. */
    private static final Duration PERIOD = Duration.ofMillis(500);

    private final LoadReports reports;
    private ControlLoop loop;
    private OwnedGrants grants;
    private StateListener listener = (cell, state) -> {};

    /**
     * Creates a poller.
     *
     * @param reports reads the load reports of engines
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
        // Polling ends with the control loop.
    }

    /**
     * Sets the listener for the engine states reported in cells that this daemon owns. It is called on the control loop.
     *
     * @param newListener receives the states and must not block; replaces the previous listener
     */
    public void onState(StateListener newListener) {
        listener = newListener;
    }

    /** Receives the reported states of engines. */
    @FunctionalInterface
    public interface StateListener {
        /**
         * Called when an engine has reported its state.
         *
         * @param cell the key of the cell that the engine belongs to
         * @param state the reported state
         */
        void onReport(String cell, EngineState state);
    }

    private void poll() {
        for (CellWorkers cell : grants.ownedCells()) {
            if (cell.upstream().kind() == Upstream.Kind.ENGINE) {
                cell.workers().values().forEach(worker -> poll(cell.key(), worker));
            }
        }
    }

    private void poll(String cell, Worker worker) {
        reports.read(worker.address()).subscribe(report -> loop.execute(() -> handleReport(cell, worker, report)));
    }

    private void handleReport(String cell, Worker worker, LoadReport report) {
        WorkerReport load = toLocalClock(worker, report);
        grants.report(cell, load);
        listener.onReport(
                cell,
                new EngineState(worker.name(), report.fence(), report.loaded(), report.role(), load.measuredNanos()));
    }

    /** Converts the report time to the local monotonic clock. A negative age, caused by clock skew, counts as zero. */
    private WorkerReport toLocalClock(Worker worker, LoadReport report) {
        long ageMillis = Math.max(0, System.currentTimeMillis() - report.reportedAtMillis());
        long measuredNanos = loop.nowNanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        return new WorkerReport(worker.name(), measuredNanos, report.running(), report.waiting());
    }
}
