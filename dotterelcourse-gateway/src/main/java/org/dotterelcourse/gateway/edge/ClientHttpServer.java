package org.dotterelcourse.gateway.edge;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
import org.dotterelcourse.gateway.forward.Reply;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.routing.Route;
import org.dotterelcourse.gateway.routing.RoutingTable;
import org.dotterelcourse.policy.shutdown.ShutdownAdmission;
import org.dotterelcourse.policy.start.BacklogWait;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server for clients. Reads each request completely, passes it to the {@link Forwarder} and sends the reply. */
public final class ClientHttpServer implements Service {
    /** The name under which the kernel registers the service. */
    public static final ServiceName<ClientHttpServer> NAME = new ServiceName<>("clients-edge", ClientHttpServer.class);

    /**
     * Maximum time that a request is assumed to have waited before it was read. After a pause of the whole process, its
     * timers are much later than most requests that arrive then.
     */
    private static final long MAX_READ_DELAY_MILLIS = 1_000;

    private static final LocalReply SHUTTING_DOWN = LocalReply.notExecuted("shutting down", 1);
    private static final LocalReply ENDS_TOO_LATE =
            LocalReply.notExecuted("shutting down, the request may not be answered before", 1);
    private static final LocalReply TOO_LARGE = new LocalReply(413, "the body is too long", 0);

    /** Twice the published limit for clients, so that requests are rejected by that limit and not by the HTTP parser. */
    private static final int MAX_HEADER_BYTES = 32_768;

    /** Above the clients' idle timeouts (15 s), so that no connection is closed that a client may still use. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);

    private static final Duration STOP_TIMEOUT = Duration.ofMillis(200);

    /** Limit for bodies before the published one is known; above all of them, so that no request is rejected wrongly. */
    private static final int MAX_BODY_BYTES_BEFORE_START = 1 << 20;

    /** Assumed for a client that states no timeout before the routes are known: the shortest required timeout. */
    private static final long TIMEOUT_MILLIS_BEFORE_START = 4_000;

    private final ClientListener listener;
    private final Dialect dialect;
    private final int minProcesses;
    private final Admission admission;
    private final InFlightCounter inFlight = new InFlightCounter();
    private GatewayLoop loop;
    private GatewayState state;
    private RequestPacer pacer;
    private StartupQueue startup;
    private Forwarder forwarder;
    private Counter endedRequests;
    private Counter flushes;
    private DisposableServer server;
    private volatile Phase phase = Phase.SERVING;

    /** Phase of the process with regard to a shutdown. */
    public enum Phase {
        /** No shutdown has begun: requests are accepted. */
        SERVING,
        /**
         * Requests of clients that have not noticed the shutdown are accepted if they will be answered in time, with
         * "Connection: close" in the reply.
         */
        LEAVING,
        /** Requests in flight are completed, new ones are rejected. */
        DRAINING
    }

    /**
     * Address of the listening socket.
     *
     * @param address the IP address
     * @param port the TCP port, 0 for any free port
     */
    public record ListenAddress(String address, int port) {}

    /**
     * Creates a server, which reads requests only after {@link #start(Kernel)}.
     *
     * @param listener the listening socket
     * @param dialect the platform-specific headers of clients
     * @param minProcesses number of processes that are assumed to share the workers before more are known
     */
    public ClientHttpServer(ClientListener listener, Dialect dialect, int minProcesses) {
        this.listener = listener;
        this.minProcesses = minProcesses;
        this.dialect = dialect;
        this.admission = new Admission(dialect);
    }

    @Override
    public ServiceName<ClientHttpServer> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME, GatewayMetrics.NAME, Forwarder.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        pacer = new RequestPacer(loop);
        forwarder = kernel.find(Forwarder.NAME);
        MetricRegistry metrics = kernel.find(GatewayMetrics.NAME).registry();
        endedRequests = metrics.counter("gateway.requests.ended");
        flushes = metrics.counter("gateway.efficiency.flushes");
        try {
            listener.listen();
            startup = new StartupQueue(loop, state, listener, minProcesses, metrics);
            server = HttpServer.create()
                    .runOn(listener.resources(loop.resources()), false)
                    .idleTimeout(IDLE_TIMEOUT)
                    .httpRequestDecoder(
                            decoder -> decoder.maxHeaderSize(MAX_HEADER_BYTES).maxInitialLineLength(MAX_HEADER_BYTES))
                    .handle(this::handle)
                    .bindNow();
            startup.begin();
            return List.of();
        } catch (ChannelBindException | IOException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for clients: " + e.getMessage()));
        }
    }

    @Override
    public void stop() {
        server.disposeNow(STOP_TIMEOUT);
    }

    /**
     * Returns the TCP port of the listening socket. Must not be called before {@link #start(Kernel)} has succeeded.
     *
     * @return the actual port, also if a free one was requested
     */
    public int port() {
        return server.port();
    }

    /**
     * Enters the next phase of a shutdown. On {@link Phase#DRAINING}, queued requests are rejected as well.
     *
     * @param next the phase to enter
     */
    public void enterPhase(Phase next) {
        phase = next;
        if (next == Phase.DRAINING) {
            forwarder.rejectQueued();
        }
    }

    /** Returns the phase of the process. */
    Phase phase() {
        return phase;
    }

    /**
     * Returns the counter of requests in flight.
     *
     * @return the counter, which keeps changing
     */
    public InFlightCounter inFlight() {
        return inFlight;
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        long arrivalNanos = startup.earliestArrivalNanos(loop.nowNanos() - readDelayNanos());
        RequestLog log = new RequestLog(dialect.requestId(request.requestHeaders()), arrivalNanos);
        return Mono.defer(() -> {
                    inFlight.increment();
                    Mono<byte[]> admitted = readBody(request)
                            .flatMap(body -> startup.await(arrivalNanos, timeoutMillis(request))
                                    .then(pacer.admit(arrivalNanos, timeoutMillis(request)))
                                    .thenReturn(body));
                    return Mono.firstWithSignal(
                                    admitted.map(Optional::of),
                                    state.shutdownSignal().asMono().thenReturn(Optional.<byte[]>empty()))
                            .flatMap(body -> body.isPresent()
                                    ? serve(request, response, body.get(), arrivalNanos, log)
                                    : sendLocal(
                                            response.header(HttpHeaderNames.CONNECTION, "close"), SHUTTING_DOWN, log));
                })
                .takeUntilOther(HttpReplies.disconnection(request))
                .onErrorResume(
                        BoundedBodyCollector.TooLargeException.class, error -> sendLocal(response, TOO_LARGE, log))
                .doOnError(error -> log.recordFailure(error))
                .doOnCancel(log::recordClientDisconnect)
                .doFinally(signal -> {
                    inFlight.decrement();
                    endedRequests.inc();
                    log.write(loop.nowNanos());
                });
    }

    /**
     * Estimates how long a request that is read now has waited to be read, by the current lateness of the event loop. If
     * deadlines were counted from the time of reading, they would be later than the clients' own: workers would receive
     * requests whose clients have given up, and final replies would be late.
     */
    private long readDelayNanos() {
        return TimeUnit.MILLISECONDS.toNanos(Math.min(MAX_READ_DELAY_MILLIS, loop.lagMillis()));
    }

    private long timeoutMillis(HttpServerRequest request) {
        return dialect.clientTimeoutMillis(request.requestHeaders()).orElse(TIMEOUT_MILLIS_BEFORE_START);
    }

    private Mono<byte[]> readBody(HttpServerRequest request) {
        int maxBytes = state.table().map(table -> table.limits().maxBodyBytes()).orElse(MAX_BODY_BYTES_BEFORE_START);
        return new BoundedBodyCollector(maxBytes).collect(request.receive());
    }

    private Mono<Void> serve(
            HttpServerRequest request, HttpServerResponse response, byte[] body, long arrivalNanos, RequestLog log) {
        if (phase != Phase.SERVING) {
            response.header(HttpHeaderNames.CONNECTION, "close");
        }
        if (phase == Phase.DRAINING) {
            return sendLocal(response, SHUTTING_DOWN, log);
        }
        Optional<RoutingTable> table = state.table();
        if (table.isEmpty()) {
            return sendLocal(response, LocalReply.notExecuted("no routing table yet", startup.retryAfterMillis()), log);
        }
        if (body.length > table.get().limits().maxBodyBytes()) {
            return sendLocal(response, TOO_LARGE, log);
        }
        HttpHeaders headers = request.requestHeaders();
        Admission.Decision decision = admission.decide(table.get(), headers, request.uri(), arrivalNanos);
        if (decision instanceof Admission.Decision.Rejected rejected) {
            return sendLocal(response, rejected.reply(), log);
        }
        Call.Attributes attributes = ((Admission.Decision.Admitted) decision).attributes();
        if (!acceptsAtShutdown(attributes)) {
            return sendLocal(response, ENDS_TOO_LATE, log);
        }
        boolean hasTime = BacklogWait.hasTimeLeft(arrivalNanos, attributes.deadlineNanos(), loop.nowNanos());
        if (!hasTime && pacer.isBehind()) {
            return sendLocal(
                    response,
                    LocalReply.notExecuted("the event loop is behind", BacklogWait.retryAfterMillis(loop.lagMillis())),
                    log);
        }
        HttpHeaders forwardedHeaders = admission.forwardedRequestHeaders(headers);
        if (body.length > 0 || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            forwardedHeaders.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        Call call = new Call(attributes, request.method(), request.uri(), forwardedHeaders, body);
        log.setCall(call);
        return forwarder
                .forward(call)
                .flatMap(reply -> send(response, request.version(), reply, log))
                .doFinally(signal -> call.holds().close());
    }

    /** Returns whether a request will be answered before the process ends, if a shutdown has begun. */
    boolean acceptsAtShutdown(Call.Attributes attributes) {
        Route route = attributes.route();
        return state.shutdownAdmission()
                .accepts(
                        new ShutdownAdmission.Request(
                                route.name(),
                                attributes.upstream().name(),
                                route.isStreaming() && route.resumable(),
                                attributes.deadlineNanos()),
                        loop.nowNanos());
    }

    private Mono<Void> send(HttpServerResponse response, HttpVersion version, Reply reply, RequestLog log) {
        if (reply instanceof Reply.Local local) {
            return sendLocal(response, local.reply(), log);
        }
        if (reply instanceof Reply.Buffered buffered) {
            log.setStatus(buffered.status(), "");
            return HttpReplies.send(response, buffered);
        }
        Reply.Streamed streamed = (Reply.Streamed) reply;
        log.setStatus(streamed.status(), "");
        return HttpReplies.send(response, version, streamed, flushes, log::recordFailure);
    }

    private static Mono<Void> sendLocal(HttpServerResponse response, LocalReply reply, RequestLog log) {
        log.setStatus(reply.status(), reply.reason());
        response.status(reply.status());
        if (reply.retryAfterMillis() > 0) {
            response.header(HttpHeaderNames.RETRY_AFTER, RetryAfter.seconds(reply.retryAfterMillis()));
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, "0");
        return response.send().then();
    }
}
