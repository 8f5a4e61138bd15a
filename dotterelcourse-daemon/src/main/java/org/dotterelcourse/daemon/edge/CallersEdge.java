package org.dotterelcourse.daemon.edge;

import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.configuration.DaemonSettings;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.dispatch.ChatCall;
import org.dotterelcourse.daemon.dispatch.Dispatchers;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.dispatch.ServiceAnswer;
import org.dotterelcourse.daemon.dispatch.ServiceRequest;
import org.dotterelcourse.daemon.http.BoundedBody;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartFinding;
import org.dotterelcourse.daemon.metrics.RequestMetrics;
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
    private static final String SERVICES = "/v1/services/";
    private static final Duration STOP_LIMIT = Duration.ofSeconds(2);

    private final DaemonSettings settings;
    private final BoundedBody bodies;
    private final ChatRequests chatRequests = new ChatRequests();
    private final InFlight inFlight = new InFlight();
    private volatile boolean draining;
    private CallerCheck check;
    private AddressBook addresses;
    private RequestMetrics metrics;
    private Dispatchers dispatchers;
    private ChatHandler chats;
    private DisposableServer server;

    /**
     * Makes an edge that doesn't listen yet.
     *
     * @param settings where to listen, and the bounds of a request
     */
    public CallersEdge(DaemonSettings settings) {
        this.settings = settings;
        this.bodies = new BoundedBody(settings.maxBodyBytes());
    }

    @Override
    public ServiceName<CallersEdge> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(ConfigurationStore.NAME, RequestMetrics.NAME, Dispatchers.NAME, AddressBook.NAME);
    }

    @Override
    public List<StartFinding> start(Kernel kernel) {
        check = new CallerCheck(kernel.find(ConfigurationStore.NAME));
        metrics = kernel.find(RequestMetrics.NAME);
        dispatchers = kernel.find(Dispatchers.NAME);
        addresses = kernel.find(AddressBook.NAME);
        chats = new ChatHandler(dispatchers.chat(), metrics);
        try {
            server = HttpServer.create()
                    .host(settings.address())
                    .port(settings.callersPort())
                    .handle(this::handle)
                    .bindNow();
            addresses.callersPort(server.port());
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartFinding(NAME.value(), "can't listen for callers: " + e.getMessage()));
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
                    return route(id, arrivalNanos, request, response);
                })
                .onErrorResume(BoundedBody.TooLargeException.class, error -> tooLarge(response, id))
                .onErrorResume(error -> internalError(error, response, id))
                .doFinally(signal -> inFlight.leave());
    }

    private Mono<Void> route(String id, long arrivalNanos, HttpServerRequest request, HttpServerResponse response) {
        String path = request.fullPath();
        boolean post = request.method().name().equals("POST");
        if (path.equals("/v1/addresses")) {
            return addresses.answer(request.requestHeaders(), response);
        }
        if (path.equals("/v1/chat/completions") && post) {
            return chat(id, arrivalNanos, request, response);
        }
        if (path.startsWith(SERVICES)) {
            return service(id, arrivalNanos, request, response);
        }
        Failure unknown = Failure.notRun(Failure.NOT_FOUND, "unknown path", "there is nothing at " + path);
        return Replies.problem(response, unknown, id);
    }

    private Mono<Void> chat(String id, long arrivalNanos, HttpServerRequest request, HttpServerResponse response) {
        Parsed<Caller> caller = check.caller(request.requestHeaders());
        if (caller instanceof Parsed.Wrong<Caller> wrong) {
            return Replies.problem(response, wrong.failure(), id);
        }
        Caller known = ((Parsed.Right<Caller>) caller).value();
        Parsed<RequestClass> found = check.chatClass(known, request.requestHeaders());
        if (found instanceof Parsed.Wrong<RequestClass> wrong) {
            return Replies.problem(response, wrong.failure(), id);
        }
        RequestClass requestClass = ((Parsed.Right<RequestClass>) found).value();
        response.header("X-Request-Class", requestClass.name());
        return bodies.collect(request.receive()).flatMap(body -> {
            Parsed<ChatCall> call = chatRequests.parse(id, known.customer().name(), requestClass, body, arrivalNanos);
            if (call instanceof Parsed.Wrong<ChatCall> wrong) {
                return Replies.problem(response, wrong.failure(), id);
            }
            return chats.handle(((Parsed.Right<ChatCall>) call).value(), response);
        });
    }

    private Mono<Void> service(String id, long arrivalNanos, HttpServerRequest request, HttpServerResponse response) {
        Parsed<Caller> caller = check.caller(request.requestHeaders());
        if (caller instanceof Parsed.Wrong<Caller> wrong) {
            return Replies.problem(response, wrong.failure(), id);
        }
        Caller known = ((Parsed.Right<Caller>) caller).value();
        String rest = request.uri().substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String upstream = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        Parsed<RequestClass> found = check.serviceClass(known, request.requestHeaders(), upstream);
        if (found instanceof Parsed.Wrong<RequestClass> wrong) {
            return Replies.problem(response, wrong.failure(), id);
        }
        RequestClass requestClass = ((Parsed.Right<RequestClass>) found).value();
        response.header("X-Request-Class", requestClass.name());
        String contentType = request.requestHeaders().get("Content-Type", "application/octet-stream");
        return bodies.collect(request.receive())
                .map(body -> new ServiceRequest(
                        id,
                        known.customer().name(),
                        requestClass,
                        request.method().name(),
                        path,
                        contentType,
                        body,
                        arrivalNanos))
                .flatMap(call -> answer(call, response));
    }

    private Mono<Void> answer(ServiceRequest call, HttpServerResponse response) {
        Mono<ServiceAnswer> answer = metrics.watch(call.id(), call.customer(), call.requestClass(), call.arrivalNanos())
                .watch(dispatchers.service().dispatch(call));
        return answer.flatMap(result -> {
            if (result instanceof ServiceAnswer.Answered answered) {
                return Replies.answered(response, answered.status(), answered.contentType(), answered.body());
            }
            return Replies.problem(response, ((ServiceAnswer.Failed) result).failure(), call.id());
        });
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
