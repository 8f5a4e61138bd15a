package org.dotterelcourse.gateway.edge;

import java.util.List;
import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.dotterelcourse.daemon.http.BoundedBodyCollector;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.forward.Call;
import org.dotterelcourse.gateway.forward.Dialect;
import org.dotterelcourse.gateway.forward.Forwarder;
import org.dotterelcourse.gateway.forward.LocalReply;
import org.dotterelcourse.gateway.forward.Reachability;
import org.dotterelcourse.gateway.forward.RelayHeaders;
import org.dotterelcourse.gateway.forward.Reply;
import org.dotterelcourse.gateway.forward.generated.RelayProtos.RelayRequest;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.routing.RequestKind;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.UpstreamSpec;
import org.dotterelcourse.policy.relay.RelayAdmission;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * HTTP endpoint for peers that have no link to the workers. Sends each of their requests to one worker and passes on the
 * response as it arrives. The peer has checked the client's rights and decides on retries. Not reachable for clients.
 */
public final class RelayEndpoint implements Service {
    /** The name under which the kernel registers the service. */
    public static final ServiceName<RelayEndpoint> NAME = new ServiceName<>("relay-endpoint", RelayEndpoint.class);

    private static final Logger LOG = Logger.getLogger("org.dotterelcourse.relay");

    /** Above the published limit for bodies and headers of clients together. */
    private static final int MAX_REQUEST_BYTES = 4 << 20;

    /** Time until the capacity of this process, or its links, may have changed. */
    private static final long RETRY_AFTER_MILLIS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Optional<ClientHttpServer.ListenAddress> listenAddress;
    private final Dialect dialect;
    private GatewayLoop loop;
    private GatewayState state;
    private Forwarder forwarder;
    private Reachability reachability;
    private ClientHttpServer clients;
    private Counter accepted;
    private Counter rejected;
    private Counter flushes;
    private DisposableServer server;
    private int inFlight;

    /**
     * Creates the endpoint.
     *
     * @param listenAddress where it listens; empty to relay no requests of peers
     * @param dialect the platform-specific headers of clients
     */
    public RelayEndpoint(Optional<ClientHttpServer.ListenAddress> listenAddress, Dialect dialect) {
        this.listenAddress = listenAddress;
        this.dialect = dialect;
    }

    @Override
    public ServiceName<RelayEndpoint> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(
                GatewayLoop.NAME,
                GatewayState.NAME,
                GatewayMetrics.NAME,
                Forwarder.NAME,
                Reachability.NAME,
                ClientHttpServer.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        forwarder = kernel.find(Forwarder.NAME);
        reachability = kernel.find(Reachability.NAME);
        clients = kernel.find(ClientHttpServer.NAME);
        MetricRegistry metrics = kernel.find(GatewayMetrics.NAME).registry();
        accepted = metrics.counter("gateway.relay.accepted");
        rejected = metrics.counter("gateway.relay.rejected");
        flushes = metrics.counter("gateway.efficiency.flushes");
        if (listenAddress.isEmpty()) {
            return List.of();
        }
        try {
            server = HttpServer.create()
                    .host(listenAddress.get().address())
                    .port(listenAddress.get().port())
                    .runOn(loop.resources(), false)
                    .handle(this::handle)
                    .bindNow();
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for relayed requests: " + e.getMessage()));
        }
    }

    @Override
    public void stop() {
        if (server != null) {
            server.disposeNow();
        }
    }

    /**
     * Returns the TCP port of the endpoint.
     *
     * @return the actual port, or 0 if this process relays no requests of peers
     */
    public int port() {
        return server == null ? 0 : server.port();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        if (!request.uri().equals(RelayHeaders.PATH)) {
            return response.sendNotFound();
        }
        String id = request.requestHeaders().get(RelayHeaders.ID);
        if (id != null) {
            response.header(RelayHeaders.ID, id);
        }
        return Mono.defer(() -> {
                    inFlight++;
                    clients.inFlight().increment();
                    return new BoundedBodyCollector(MAX_REQUEST_BYTES)
                            .collect(request.receive())
                            .flatMap(body -> serve(body, response));
                })
                .takeUntilOther(HttpReplies.disconnection(request))
                .onErrorResume(BoundedBodyCollector.TooLargeException.class, error -> reject(response, "too long"))
                .doFinally(signal -> {
                    inFlight--;
                    clients.inFlight().decrement();
                });
    }

    private Mono<Void> serve(byte[] body, HttpServerResponse response) {
        RelayRequest relayed;
        try {
            relayed = RelayRequest.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            LOG.warnf(e, "a relayed request can't be read, it is rejected");
            return reject(response, "the relayed request can't be read");
        }
        Optional<String> obstacle = obstacle(relayed);
        if (obstacle.isPresent()) {
            return reject(response, obstacle.get());
        }
        Call call = toCall(relayed);
        if (!clients.acceptsAtShutdown(call.attributes())) {
            return reject(response, "shutting down, the request may not be answered before");
        }
        accepted.inc();
        return forwarder
                .forwardForPeer(call)
                .flatMap(reply -> send(response, call, reply))
                .doFinally(signal -> {
                    call.holds().close();
                    log(relayed, call);
                });
    }

    /** Returns why this process does not forward the request; empty if it does. */
    private Optional<String> obstacle(RelayRequest relayed) {
        if (clients.phase() == ClientHttpServer.Phase.DRAINING) {
            return Optional.of("shutting down");
        }
        if (reachability.isCutOff()) {
            return Optional.of("no worker is reached from here either");
        }
        if (state.table()
                .filter(table -> table.hasUpstream(relayed.getUpstream()))
                .isEmpty()) {
            return Optional.of("the upstream is not configured here");
        }
        int own = clients.inFlight().count() - inFlight;
        long lagMillis = loop.lagMillis();
        if (RelayAdmission.isBehind(lagMillis)) {
            return Optional.of("the event loop is " + lagMillis + " ms behind");
        }
        if (!RelayAdmission.accepts(inFlight - 1, own, lagMillis)) {
            return Optional.of("at the limit of relayed requests, " + (inFlight - 1) + " beside " + own + " own ones");
        }
        return Optional.empty();
    }

    private Call toCall(RelayRequest relayed) {
        long nowNanos = loop.nowNanos();
        UpstreamSpec upstream = state.table().orElseThrow().upstream(relayed.getUpstream());
        HttpHeaders headers = new DefaultHttpHeaders();
        int count = Math.min(relayed.getHeaderNamesCount(), relayed.getHeaderValuesCount());
        for (int i = 0; i < count; i++) {
            headers.add(relayed.getHeaderNames(i), relayed.getHeaderValues(i));
        }
        Route route = new Route(
                relayed.getRoute(),
                "",
                "/",
                relayed.getStreaming() ? RequestKind.STREAMING : RequestKind.NON_IDEMPOTENT,
                relayed.getTimeoutMillis(),
                relayed.getTargetMillis(),
                relayed.getGapTargetMillis(),
                relayed.getPriority(),
                List.of(),
                1,
                false,
                false);
        Optional<Prompt> prompt = upstream.engine()
                ? dialect.prompt(
                        headers,
                        LatencyClass.of(route.gapTargetMillis(), route.targetMillis(), upstream.tokensPerEvent()))
                : Optional.empty();
        Call call = new Call(
                new Call.Attributes(
                        relayed.getId(),
                        route,
                        upstream,
                        relayed.getCustomer(),
                        relayed.getPriority(),
                        prompt,
                        nowNanos - relayed.getElapsedMillis() * NANOS_PER_MILLI,
                        nowNanos + relayed.getRemainingMillis() * NANOS_PER_MILLI,
                        Optional.empty()),
                HttpMethod.valueOf(relayed.getMethod()),
                relayed.getUri(),
                headers,
                relayed.getBody().toByteArray());
        call.continueForPeer(relayed.getExcludedWorkersList(), relayed.getRetried(), relayed.getLastEventId());
        if (relayed.hasVersion()) {
            call.requireVersion(relayed.getVersion());
        }
        return call;
    }

    private Mono<Void> send(HttpServerResponse response, Call call, Reply reply) {
        response.header(RelayHeaders.WORKER, call.lastWorkerId())
                .header(RelayHeaders.VERSION, call.lastWorkerVersion())
                .header(RelayHeaders.SENDS, Integer.toString(call.sendCount()));
        if (reply instanceof Reply.Local local) {
            boolean isNotExecuted = local.reply().status() == LocalReply.UNAVAILABLE;
            return sendLocal(response, isNotExecuted ? RelayHeaders.NOT_EXECUTED : RelayHeaders.UNKNOWN, local.reply());
        }
        response.header(RelayHeaders.OUTCOME, RelayHeaders.RESPONDED);
        removeRelayHeaders(reply);
        return reply instanceof Reply.Buffered buffered
                ? HttpReplies.send(response, buffered)
                : HttpReplies.send(
                        response,
                        HttpVersion.HTTP_1_1,
                        (Reply.Streamed) reply,
                        flushes,
                        error -> LOG.infof(
                                "relayed stream of request %s broke off, its connection is closed: %s",
                                call.attributes().id(), error.getMessage()));
    }

    /** A worker's own headers of these names would contradict those of this process. */
    private static void removeRelayHeaders(Reply reply) {
        if (reply instanceof Reply.Buffered buffered) {
            RelayHeaders.removeFrom(buffered.headers());
        } else if (reply instanceof Reply.Streamed streamed) {
            RelayHeaders.removeFrom(streamed.headers());
        }
    }

    private Mono<Void> reject(HttpServerResponse response, String reason) {
        rejected.inc();
        return sendLocal(response, RelayHeaders.NOT_EXECUTED, LocalReply.notExecuted(reason, RETRY_AFTER_MILLIS));
    }

    private static Mono<Void> sendLocal(HttpServerResponse response, String outcome, LocalReply reply) {
        response.status(reply.status());
        response.header(RelayHeaders.OUTCOME, outcome)
                .header(RelayHeaders.REASON, reply.reason())
                .header(RelayHeaders.RETRY_MILLIS, Long.toString(reply.retryAfterMillis()))
                .header(HttpHeaderNames.CONTENT_LENGTH, "0");
        return response.send().then();
    }

    private static void log(RelayRequest relayed, Call call) {
        MDC.put("request", relayed.getId());
        MDC.put("for", relayed.getSender());
        MDC.put("route", relayed.getRoute());
        MDC.put("customer", relayed.getCustomer());
        MDC.put("worker", call.lastWorkerId());
        MDC.put("version", call.lastWorkerVersion());
        MDC.put("sends", Integer.toString(call.sendCount()));
        LOG.info("relayed request ended");
        MDC.clear();
    }
}
