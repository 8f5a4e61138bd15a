package org.dotterelcourse.daemon;

import java.time.Clock;
import java.util.List;

import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.configuration.IniConfigurationReader;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.cells.LoadPoller;
import org.dotterelcourse.daemon.cells.OwnedGrants;
import org.dotterelcourse.daemon.dispatch.Dispatchers;
import org.dotterelcourse.daemon.edge.AddressBook;
import org.dotterelcourse.daemon.edge.CallersEdge;
import org.dotterelcourse.daemon.kernel.ControlLoop;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.limits.Limits;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import org.dotterelcourse.daemon.once.Tickets;
import org.dotterelcourse.daemon.operators.Drain;
import org.dotterelcourse.daemon.operators.OperatorsEdge;
import org.dotterelcourse.daemon.orders.EngineOrders;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.daemon.platform.ConfigurationRelayService;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import org.dotterelcourse.daemon.platform.HttpConfigSource;
import org.dotterelcourse.daemon.platform.HttpVmList;
import org.dotterelcourse.daemon.platform.VmWatcher;
import org.dotterelcourse.daemon.upstream.HttpEngine;
import org.dotterelcourse.daemon.upstream.HttpEngineControl;
import org.dotterelcourse.daemon.upstream.HttpLoadReports;
import org.dotterelcourse.daemon.upstream.HttpPlainService;
import org.dotterelcourse.daemon.upstream.UpstreamTimeouts;
import org.dotterelcourse.policy.cell.TieredScheduler;

/** One daemon: its services, put together from its settings. */
public final class Daemon {
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private final Kernel kernel = new Kernel();

    /**
     * Puts a daemon together; nothing runs before {@link #start()}.
     *
     * @param settings its settings
     */
    public Daemon(DaemonSettings settings) {
        long incarnation = System.currentTimeMillis();
        UpstreamTimeouts timeouts = UpstreamTimeouts.DEFAULT;
        kernel.register(new ControlLoop())
                .register(new AuditTrail(Clock.systemUTC(), settings.auditFile()))
                .register(new ConfigurationStore())
                .register(new ConfigurationRelayService(
                        new HttpConfigSource(settings.configurationService()),
                        new IniConfigurationReader(),
                        settings.readsPerSecond()))
                .register(new VmWatcher(new HttpVmList(settings.vmList())))
                .register(new Peers(settings, incarnation))
                .register(new OwnedGrants(cell -> TieredScheduler.builder().build()))
                .register(new LoadPoller(new HttpLoadReports()))
                .register(new EngineOrders(new HttpEngineControl()))
                .register(new Dispatchers(
                        new HttpEngine(timeouts), new HttpPlainService(timeouts.connect(), MAX_ANSWER_BYTES)))
                .register(new Tickets())
                .register(new Limits())
                .register(new RequestMetrics())
                .register(new AddressBook(settings))
                .register(new CallersEdge(settings))
                .register(new Drain(settings))
                .register(new OperatorsEdge(settings));
    }

    /**
     * Starts every service.
     *
     * @return what kept it from starting, empty if it runs
     */
    public List<StartupFailure> start() {
        return kernel.start();
    }

    /** Stops every service at once; {@link #drain} comes first where requests are not to be cut off. */
    public void stop() {
        kernel.stop();
    }

    /**
     * The shutdown that cuts off no request.
     *
     * @return its service
     */
    public Drain drain() {
        return kernel.find(Drain.NAME);
    }

    /**
     * The TCP port for callers.
     *
     * @return the port it listens on
     */
    public int callersPort() {
        return kernel.find(CallersEdge.NAME).port();
    }

    /**
     * The TCP and UDP port for other daemons.
     *
     * @return the port it listens on
     */
    public int peersPort() {
        return kernel.find(Peers.NAME).port();
    }

    /**
     * The TCP port for operators.
     *
     * @return the port it listens on
     */
    public int operatorsPort() {
        return kernel.find(OperatorsEdge.NAME).port();
    }
}
