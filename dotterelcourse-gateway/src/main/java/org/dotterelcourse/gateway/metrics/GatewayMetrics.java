package org.dotterelcourse.gateway.metrics;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.metrics.PrometheusText;
import org.dotterelcourse.gateway.GatewayLoop;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * Registry of the gateway's metrics. If a listen address is set, {@code GET /metrics} returns them in the Prometheus text
 * format. Without one, no endpoint exists and the classes that format metrics are not loaded, so that a start costs no more
 * processor time.
 */
public final class GatewayMetrics implements Service {
    /** Name of this service in the kernel. */
    public static final ServiceName<GatewayMetrics> NAME = new ServiceName<>("gateway-metrics", GatewayMetrics.class);

    private static final String PATH = "/metrics";

    private final MetricRegistry registry = new MetricRegistry();
    private final Optional<InetSocketAddress> listenAddress;
    private DisposableServer server;

    /**
     * Creates an empty registry.
     *
     * @param listenAddress address of the metrics endpoint; empty to disable it
     */
    public GatewayMetrics(Optional<InetSocketAddress> listenAddress) {
        this.listenAddress = listenAddress;
    }

    @Override
    public ServiceName<GatewayMetrics> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        if (listenAddress.isEmpty()) {
            return List.of();
        }
        try {
            server = HttpServer.create()
                    .bindAddress(listenAddress::get)
                    .runOn(kernel.find(GatewayLoop.NAME).resources(), false)
                    .route(routes -> routes.get(
                            PATH,
                            (request, response) -> response.header("Content-Type", "text/plain; version=0.0.4")
                                    .sendString(Mono.fromSupplier(() -> PrometheusText.of(registry)))))
                    .bindNow();
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for metrics requests: " + e.getMessage()));
        }
    }

    @Override
    public void stop() {
        if (server != null) {
            server.disposeNow();
        }
    }

    /**
     * Returns the registry of all metrics of this process. Metrics are registered by their names; the registry is safe for
     * use by several threads.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Returns the TCP port of the endpoint. Must not be called if the endpoint is disabled.
     *
     * @return the actual port, also if a free one was requested
     */
    public int port() {
        return server.port();
    }
}
