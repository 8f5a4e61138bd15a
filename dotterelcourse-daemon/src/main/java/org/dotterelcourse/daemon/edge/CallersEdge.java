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

/** Serves callers: docs/PROTOCOLS.md, "Callers". */
public final class CallersEdge implements Service {
    /** The name that it is found by. */
    public static final ServiceName<CallersEdge> NAME = new ServiceName<>("callers-edge", CallersEdge.class);

    private static final Logger LOG = Logger.getLogger(CallersEdge.class);
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");
    private static final Duration STOP_LIMIT = Duration.ofSeconds(2);

    private final DaemonSettings settings;
    private final InFlight inFlight = new InFlight();
    private volatile boolean draining;
    private AddressBook addresses;
    private Route chats;
    private Route services;
    private Route tickets;
    private DisposableServer server;

    /**
     * Makes an edge that doesn't listen yet.
     *
     * @param settings where to listen, and the bounds of a request
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
        addresses = kernel.find(AddressBook.NAME);
        RequestMetrics metrics = kernel.find(RequestMetrics.NAME);
        Dispatchers dispatchers = kernel.find(Dispatchers.NAME);
        Tickets once = kernel.find(Tickets.NAME);
        CallerCheck check = new CallerCheck(kernel.find(ConfigurationStore.NAME));
        BoundedBodyCollector bodies = new BoundedBodyCollector(settings.maxBodyBytes());
        EntryGate gate = new EntryGate(kernel.find(Limits.NAME), new OnceGate(once));
        Refuser refuser = new Refuser(metrics);
        chats = new ChatRoute(check, bodies, gate, new ChatHandler(dispatchers.chat(), metrics), refuser);
        services = new ServiceRoute(check, bodies, gate, dispatchers.service(), metrics, refuser);
        tickets = new TicketRoute(check, once, refuser);
        try {
            server = HttpServer.create()
                    .host(settings.address())
                    .port(settings.callersPort())
                    .handle(this::handle)
                    .bindNow();
            addresses.callersPort(server.port());
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for callers: " + e.getMessage()));
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

    /** From now on asks callers to close their connections after the answer they are on. */
    public void drain() {
        draining = true;
    }

    /**
     * Takes no more connections, and waits for the requests in flight.
     *
     * @return completes when the last one has ended
     */
    public Mono<Void> finish() {
        server.channel().close();
        return inFlight.untilNone();
    }

    /**
     * How many requests are in flight.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight.count();
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        long arrivalNanos = System.nanoTime();
        String id = requestId(request.requestHeaders());
        response.header(Replies.REQUEST_ID, id);
        if (draining) {
            response.header("Connection", "close");
        }
        return Mono.defer(() -> {
                    inFlight.enter();
                    return route(new Exchange(id, arrivalNanos, request, response));
                })
                .onErrorResume(BoundedBodyCollector.TooLargeException.class, error -> tooLarge(response, id))
                .onErrorResume(error -> internalError(error, response, id))
                .doFinally(signal -> inFlight.leave());
    }

    private Mono<Void> route(Exchange exchange) {
        String path = exchange.request().fullPath();
        if (path.equals("/v1/addresses")) {
            return addresses.answer(exchange.headers(), exchange.response());
        }
        if (path.equals("/v1/chat/completions")
                && exchange.request().method().name().equals("POST")) {
            return chats.handle(exchange);
        }
        if (path.startsWith(ServiceRoute.PREFIX)) {
            return services.handle(exchange);
        }
        if (path.startsWith(TicketRoute.PATH)) {
            return tickets.handle(exchange);
        }
        Failure unknown = Failure.notRun(Failure.NOT_FOUND, "unknown path", "there is nothing at " + path);
        return Replies.problem(exchange.response(), unknown, exchange.id());
    }

    private static String requestId(HttpHeaders headers) {
        String given = headers.get(Replies.REQUEST_ID, "");
        return REQUEST_ID.matcher(given).matches() ? given : UUID.randomUUID().toString();
    }

    private static Mono<Void> tooLarge(HttpServerResponse response, String id) {
        Failure failure = Failure.notRun(Failure.TOO_LARGE, "too large", "the body is longer than this daemon takes");
        response.header("Connection", "close");
        return Replies.problem(response, failure, id);
    }

    /** The detail stays in the log: a stack trace tells a caller nothing that helps, and others a good deal. */
    private static Mono<Void> internalError(Throwable error, HttpServerResponse response, String id) {
        if (response.hasSentHeaders()) {
            LOG.debug("the caller's connection broke while it was answered, request " + id, error);
            return Mono.error(error);
        }
        LOG.error("a request failed inside the daemon: " + id, error);
        return Replies.problem(response, Failure.unknown(500, "internal error", "see the daemon's log"), id);
    }
}
