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

/** Serves operators: docs/PROTOCOLS.md, "Operators". */
public final class OperatorsEdge implements Service {
    /** The name that it is found by. */
    public static final ServiceName<OperatorsEdge> NAME = new ServiceName<>("operators-edge", OperatorsEdge.class);

    private static final Duration STOP_LIMIT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final DaemonSettings settings;
    private final ObjectMapper json = new ObjectMapper();
    private AuditTrail audit;
    private ConfigurationStore store;
    private RequestMetrics metrics;
    private CallersEdge callers;
    private Drain drain;
    private Peers peers;
    private OwnedGrants grants;
    private DisposableServer server;

    /**
     * Makes an interface that doesn't listen yet.
     *
     * @param settings where to listen
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
        store = kernel.find(ConfigurationStore.NAME);
        metrics = kernel.find(RequestMetrics.NAME);
        callers = kernel.find(CallersEdge.NAME);
        drain = kernel.find(Drain.NAME);
        peers = kernel.find(Peers.NAME);
        grants = kernel.find(OwnedGrants.NAME);
        try {
            server = HttpServer.create()
                    .host(settings.address())
                    .port(settings.operatorsPort())
                    .route(this::routes)
                    .bindNow();
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for operators: " + e.getMessage()));
        }
    }

    @Override
    public void stop() {
        server.disposeNow(STOP_LIMIT);
    }

    /**
     * The TCP port that it listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    private void routes(HttpServerRoutes routes) {
        routes.get("/health", (request, response) -> text(response, OK, "ok\n"))
                .get("/ready", (request, response) -> ready(response))
                .get("/configuration", (request, response) -> configuration(response))
                .get("/members", (request, response) -> send(response, OK, members()))
                .get("/owners", (request, response) -> send(response, OK, grants.status()))
                .get("/audit", this::audit)
                .get("/classes", (request, response) -> send(response, OK, ClassReport.of(metrics.registry())))
                .get("/metrics.json", (request, response) -> send(response, OK, MetricsJson.of(metrics.registry())))
                .get("/metrics", (request, response) -> text(response, OK, PrometheusText.of(metrics.registry())))
                .post("/drain", (request, response) -> beginDrain(response));
    }

    private Mono<Void> ready(HttpServerResponse response) {
        if (drain.begun()) {
            return text(response, UNAVAILABLE, "draining\n");
        }
        return store.inForce().isPresent()
                ? text(response, OK, "ready\n")
                : text(response, UNAVAILABLE, "no configuration yet\n");
    }

    private Mono<Void> configuration(HttpServerResponse response) {
        ObjectNode answer = json.createObjectNode();
        answer.put("daemon", settings.name());
        store.inForce().ifPresent(inForce -> {
            answer.put("number", inForce.number());
            answer.put("digest", inForce.digest());
            answer.put("classes", inForce.classes().size());
            answer.put("customers", inForce.customers().size());
            answer.put("upstreams", inForce.upstreams().size());
        });
        answer.put("inFlight", callers.inFlight());
        answer.put("draining", drain.begun());
        return send(response, OK, answer);
    }

    private List<MemberReport> members() {
        return MemberReport.of(peers.view(), System.nanoTime());
    }

    private Mono<Void> audit(HttpServerRequest request, HttpServerResponse response) {
        List<String> after = new QueryStringDecoder(request.uri()).parameters().getOrDefault("after", List.of("0"));
        try {
            return send(response, OK, audit.eventsAfter(Long.parseLong(after.get(0))));
        } catch (NumberFormatException e) {
            return text(response, BAD_REQUEST, "after: expected a whole number, found " + after.get(0) + "\n");
        }
    }

    private Mono<Void> beginDrain(HttpServerResponse response) {
        drain.begin("an operator's order");
        return text(response, ACCEPTED, "draining\n");
    }

    private Mono<Void> send(HttpServerResponse response, int status, Object value) {
        try {
            return bytes(response, status, "application/json", json.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            return Mono.error(e);
        }
    }

    private static Mono<Void> text(HttpServerResponse response, int status, String text) {
        return bytes(response, status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    private static Mono<Void> bytes(HttpServerResponse response, int status, String contentType, byte[] body) {
        response.status(status);
        response.header("Content-Type", contentType);
        response.header("Content-Length", Integer.toString(body.length));
        return response.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .then();
    }
}
