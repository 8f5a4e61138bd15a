package org.dotterelcourse.daemon.operators;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.cells.OwnedGrants;
import org.dotterelcourse.daemon.edge.CallersEdge;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.metrics.PrometheusText;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import org.dotterelcourse.daemon.peers.Peers;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server for operators: health, status, metrics, audit trail and drain (docs/PROTOCOLS.md, "Operators"). */
public final class OperatorsEdge implements Service {
    /** Name under which the kernel registers this service. */
    public static final ServiceName<OperatorsEdge> NAME = new ServiceName<>("operators-edge", OperatorsEdge.class);

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final DaemonSettings settings;
    private final ObjectMapper json = new ObjectMapper();
    private AuditTrail audit;
    private ConfigurationStore configurationStore;
    private RequestMetrics metrics;
    private CallersEdge callersEdge;
    private Drain drain;
    private Peers peers;
    private OwnedGrants ownedGrants;
    private DisposableServer server;

    /**
     * Creates the server. It does not listen before {@link #start}.
     *
     * @param settings the daemon's settings, with the address and port to listen on
     */
    public OperatorsEdge(DaemonSettings settings) {
        this.settings = settings;
    }

    @Override
    public ServiceName<OperatorsEdge> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(
                AuditTrail.NAME,
                ConfigurationStore.NAME,
                RequestMetrics.NAME,
                CallersEdge.NAME,
                Drain.NAME,
                Peers.NAME,
                OwnedGrants.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        audit = kernel.find(AuditTrail.NAME);
        configurationStore = kernel.find(ConfigurationStore.NAME);
        metrics = kernel.find(RequestMetrics.NAME);
        callersEdge = kernel.find(CallersEdge.NAME);
        drain = kernel.find(Drain.NAME);
        peers = kernel.find(Peers.NAME);
        ownedGrants = kernel.find(OwnedGrants.NAME);
        try {
            server = HttpServer.create()
                    .host(settings.address())
                    .port(settings.operatorsPort())
                    .route(this::addRoutes)
                    .bindNow();
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for operators: " + e.getMessage()));
        }
    }

    @Override
    public void stop() {
        server.disposeNow(STOP_TIMEOUT);
    }

    /**
     * Returns the TCP port that the server listens on.
     *
     * @return the port, as bound by {@link #start}
     */
    public int port() {
        return server.port();
    }

    private void addRoutes(HttpServerRoutes routes) {
        routes.get("/health", (request, response) -> sendText(response, OK, "ok\n"))
                .get("/ready", (request, response) -> ready(response))
                .get("/configuration", (request, response) -> configuration(response))
                .get("/members", (request, response) -> sendJson(response, OK, members()))
                .get("/owners", (request, response) -> sendJson(response, OK, ownedGrants.status()))
                .get("/audit", this::audit)
                .get("/classes", (request, response) -> sendJson(response, OK, ClassReport.of(metrics.registry())))
                .get("/metrics.json", (request, response) -> sendJson(response, OK, MetricsJson.of(metrics.registry())))
                .get("/metrics", (request, response) -> sendText(response, OK, PrometheusText.of(metrics.registry())))
                .post("/drain", (request, response) -> beginDrain(response));
    }

    private Mono<Void> ready(HttpServerResponse response) {
        if (drain.isDraining()) {
            return sendText(response, SERVICE_UNAVAILABLE, "draining\n");
        }
        return configurationStore.inForce().isPresent()
                ? sendText(response, OK, "ready\n")
                : sendText(response, SERVICE_UNAVAILABLE, "no configuration yet\n");
    }

    private Mono<Void> configuration(HttpServerResponse response) {
        ObjectNode status = json.createObjectNode();
        status.put("daemon", settings.name());
        configurationStore.inForce().ifPresent(inForce -> {
            status.put("number", inForce.number());
            status.put("digest", inForce.digest());
            status.put("classes", inForce.classes().size());
            status.put("customers", inForce.customers().size());
            status.put("upstreams", inForce.upstreams().size());
        });
        status.put("inFlight", callersEdge.inFlight());
        status.put("draining", drain.isDraining());
        return sendJson(response, OK, status);
    }

    private List<MemberReport> members() {
        return MemberReport.of(peers.view(), System.nanoTime());
    }

    private Mono<Void> audit(HttpServerRequest request, HttpServerResponse response) {
        List<String> after = new QueryStringDecoder(request.uri()).parameters().getOrDefault("after", List.of("0"));
        try {
            return sendJson(response, OK, audit.eventsAfter(Long.parseLong(after.get(0))));
        } catch (NumberFormatException e) {
            return sendText(response, BAD_REQUEST, "after: expected a whole number, found " + after.get(0) + "\n");
        }
    }

    private Mono<Void> beginDrain(HttpServerResponse response) {
        drain.begin("an operator's order");
        return sendText(response, ACCEPTED, "draining\n");
    }

    private Mono<Void> sendJson(HttpServerResponse response, int status, Object value) {
        try {
            return sendBytes(response, status, "application/json", json.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            return Mono.error(e);
        }
    }

    private static Mono<Void> sendText(HttpServerResponse response, int status, String text) {
        return sendBytes(response, status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    private static Mono<Void> sendBytes(HttpServerResponse response, int status, String contentType, byte[] body) {
        response.status(status);
        response.header("Content-Type", contentType);
        response.header("Content-Length", Integer.toString(body.length));
        return response.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .then();
    }
}
