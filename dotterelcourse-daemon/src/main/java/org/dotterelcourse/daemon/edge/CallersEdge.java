package org.dotterelcourse.daemon.edge;

import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.daemon.dispatch.Dispatchers;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.http.BoundedBodyCollector;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.daemon.limits.Limits;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
import org.dotterelcourse.daemon.once.OnceGate;
import org.dotterelcourse.daemon.once.Tickets;
import org.dotterelcourse.daemon.platform.ConfigurationStore;
import org.jboss.logging.Logger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The HTTP server for callers: assigns request ids, routes requests and counts those in flight. The protocol is
 * described in docs/PROTOCOLS.md, "Callers".
 */
public final class CallersEdge implements Service {
    /** The name under which the kernel registers this service. */
    public static final ServiceName<CallersEdge> NAME = new ServiceName<>("callers-edge", CallersEdge.class);

    private static final Logger LOG = Logger.getLogger(CallersEdge.class);
    private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final DaemonSettings settings;
    private final InFlightRequests inFlight = new InFlightRequests();
    private volatile boolean draining;
    private AddressBook addressBook;
    private Route chatRoute;
    private Route serviceRoute;
    private Route ticketRoute;
    private DisposableServer server;

    /**
     * Creates the server; it does not listen until {@link #start}.
     *
     * @param settings the daemon settings, which hold the address and port to listen on and the maximum body size
     */
    public CallersEdge(DaemonSettings settings) {
        this.settings = settings;
    }

    @Override
    public ServiceName<CallersEdge> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(
                ConfigurationStore.NAME,
                RequestMetrics.NAME,
                Dispatchers.NAME,
                AddressBook.NAME,
                Tickets.NAME,
                Limits.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        addressBook = kernel.find(AddressBook.NAME);
        RequestMetrics metrics = kernel.find(RequestMetrics.NAME);
        Dispatchers dispatchers = kernel.find(Dispatchers.NAME);
        Tickets tickets = kernel.find(Tickets.NAME);
        CallerResolver callerResolver = new CallerResolver(kernel.find(ConfigurationStore.NAME));
        BoundedBodyCollector bodyCollector = new BoundedBodyCollector(settings.maxBodyBytes());
        AdmissionGate gate = new AdmissionGate(kernel.find(Limits.NAME), new OnceGate(tickets));
        RefusalHandler refusals = new RefusalHandler(metrics);
        chatRoute = new ChatRoute(
                callerResolver, bodyCollector, gate, new ChatHandler(dispatchers.chat(), metrics), refusals);
        serviceRoute = new ServiceRoute(callerResolver, bodyCollector, gate, dispatchers.service(), metrics, refusals);
        ticketRoute = new TicketRoute(callerResolver, tickets, refusals);
        try {
            server = HttpServer.create()
                    .host(settings.address())
                    .port(settings.callersPort())
                    .handle(this::handle)
                    .bindNow();
            addressBook.publishCallersPort(server.port());
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartupFailure(NAME.value(), "cannot listen for callers: " + e.getMessage()));
        }
    }

    @Override
    public void stop() {
        server.disposeNow(STOP_TIMEOUT);
    }

    /**
     * Returns the TCP port on which the server listens.
     *
     * @return the bound port, also if the settings left the choice to the system
     */
    public int port() {
        return server.port();
    }

    /** Starts draining: every further response asks the caller to close its connection. */
    public void drain() {
        draining = true;
    }

    /**
     * Stops accepting connections and waits for the requests in flight.
     *
     * @return completes when the last request in flight has ended
     */
    public Mono<Void> finish() {
        server.channel().close();
        return inFlight.whenNone();
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the requests that have arrived and not ended yet
     */
    public int inFlight() {
        return inFlight.count();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        long arrivalNanos = System.nanoTime();
        String id = requestId(request.requestHeaders());
        response.header(Replies.REQUEST_ID_HEADER, id);
        if (draining) {
            response.header("Connection", "close");
        }
        return Mono.defer(() -> {
                    inFlight.started();
                    return dispatch(new Exchange(id, arrivalNanos, request, response));
                })
                .onErrorResume(BoundedBodyCollector.TooLargeException.class, error -> sendTooLarge(response, id))
                .onErrorResume(error -> sendInternalError(error, response, id))
                .doFinally(signal -> inFlight.ended());
    }

    private Mono<Void> dispatch(Exchange exchange) {
        String path = exchange.request().fullPath();
        if (path.equals("/v1/addresses")) {
            return addressBook.sendAddresses(exchange.headers(), exchange.response());
        }
        if (path.equals("/v1/chat/completions")
                && exchange.request().method().name().equals("POST")) {
            return chatRoute.handle(exchange);
        }
        if (path.startsWith(ServiceRoute.PATH_PREFIX)) {
            return serviceRoute.handle(exchange);
        }
        if (path.startsWith(TicketRoute.PATH)) {
            return ticketRoute.handle(exchange);
        }
        Failure unknownPath = Failure.notRun(Failure.NOT_FOUND, "unknown path", "there is nothing at " + path);
        return Replies.sendProblem(exchange.response(), unknownPath, exchange.id());
    }

    private static String requestId(HttpHeaders headers) {
        String given = headers.get(Replies.REQUEST_ID_HEADER, "");
        return REQUEST_ID_PATTERN.matcher(given).matches()
                ? given
                : UUID.randomUUID().toString();
    }

    private static Mono<Void> sendTooLarge(HttpServerResponse response, String id) {
        Failure failure = Failure.notRun(Failure.TOO_LARGE, "too large", "the body is longer than this daemon takes");
        response.header("Connection", "close");
        return Replies.sendProblem(response, failure, id);
    }

    /** Responds without the cause, which is only logged: a stack trace does not help callers but helps attackers. */
    private static Mono<Void> sendInternalError(Throwable error, HttpServerResponse response, String id) {
        if (response.hasSentHeaders()) {
            LOG.debug("connection failed after response headers were sent; aborting request " + id, error);
            return Mono.error(error);
        }
        LOG.error("internal error, responding with status 500; request " + id, error);
        return Replies.sendProblem(response, Failure.unknown(500, "internal error", "see the daemon's log"), id);
    }
}
