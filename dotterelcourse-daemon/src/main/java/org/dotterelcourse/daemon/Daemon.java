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

/** One daemon: creates all services from the settings, and starts and stops them. */
public final class Daemon {
    private static final int MAX_SERVICE_RESPONSE_BYTES = 8 << 20;

    private final Kernel kernel = new Kernel();

    /**
     * Creates the services of a daemon; none of them runs before {@link #start()}.
     *
     * @param settings settings of the daemon
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
                        new HttpEngine(timeouts), new HttpPlainService(timeouts.connect(), MAX_SERVICE_RESPONSE_BYTES)))
                .register(new Tickets())
                .register(new Limits())
                .register(new RequestMetrics())
                .register(new AddressBook(settings))
                .register(new CallersEdge(settings))
                .register(new Drain(settings))
                .register(new OperatorsEdge(settings));
    }

    /**
     * Starts all services.
     *
     * @return the reasons why the daemon could not start; empty if it runs
     */
    public List<StartupFailure> start() {
        return kernel.start();
    }

    /** Stops all services and cuts off requests in flight. To let these finish, complete a {@link #drain} first. */
    public void stop() {
        kernel.stop();
    }

    /**
     * Returns the service that shuts the daemon down without cutting off requests.
     *
     * @return the drain service
     */
    public Drain drain() {
        return kernel.find(Drain.NAME);
    }

    /**
     * Returns the TCP port for callers.
     *
     * @return the bound port, also if the settings let the system choose one
     */
    public int callersPort() {
        return kernel.find(CallersEdge.NAME).port();
    }

    /**
     * Returns the TCP and UDP port for peer daemons.
     *
     * @return the bound port, also if the settings let the system choose one
     */
    public int peersPort() {
        return kernel.find(Peers.NAME).port();
    }

    /**
     * Returns the TCP port for operators.
     *
     * @return the bound port, also if the settings let the system choose one
     */
    public int operatorsPort() {
        return kernel.find(OperatorsEdge.NAME).port();
    }
}
