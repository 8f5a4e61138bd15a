package org.dotterelcourse.gateway.edge;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
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
import org.dotterelcourse.gateway.forward.OwnAnswer;
import org.dotterelcourse.gateway.forward.Reply;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Takes clients' requests, reads them whole, and answers them with what the forwarder brings. */
public final class ClientsEdge implements Service {
    /** The name that it is found by. */
    public static final ServiceName<ClientsEdge> NAME = new ServiceName<>("clients-edge", ClientsEdge.class);

    /**
     * Most that a request is taken to have waited. After a pause of the whole process its last timer was later by far than
     * most requests that come then.
     */
    private static final long MOST_WAITED_MILLIS = 1_000;

    private static final OwnAnswer TOO_LARGE = new OwnAnswer(413, "the body is too long", 0);

    /** Twice what clients may send by the published limits, so that those, not the parser, decide. */
    private static final int MAX_HEADER_BYTES = 32_768;

    /** Above the idle limits in use (15 s), so that no connection is closed that a client may still use. */
    private static final Duration IDLE = Duration.ofSeconds(90);

    private static final Duration STOP_LIMIT = Duration.ofMillis(200);

    private final Listen listen;
    private final Dialect dialect;
    private final Admission admission;
    private final InFlight inFlight = new InFlight();
    private GatewayLoop loop;
    private GatewayState state;
    private Turns turns;
    private Forwarder forwarder;
    private DisposableServer server;
    private volatile Phase phase = Phase.SERVING;

    /** How far a shutdown has come. */
    public enum Phase {
        /** No shutdown. */
        SERVING,
        /** Serves those that don't know of the shutdown yet, and asks them to close their connections. */
        LEAVING,
        /** Serves what it has and takes nothing on. */
        CLOSING
    }

    /**
     * Where to listen.
     *
     * @param address IP number
     * @param port TCP port, 0 for any free one
     */
    public record Listen(String address, int port) {}

    /**
     * Makes an edge that doesn't listen yet.
     *
     * @param listen where to listen
     * @param dialect how clients spell things
     */
    public ClientsEdge(Listen listen, Dialect dialect) {
        this.listen = listen;
        this.dialect = dialect;
        this.admission = new Admission(dialect);
    }

    @Override
    public ServiceName<ClientsEdge> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME, Forwarder.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        turns = new Turns(loop);
        forwarder = kernel.find(Forwarder.NAME);
        try {
            server = HttpServer.create()
                    .host(listen.address())
                    .port(listen.port())
                    .runOn(loop.resources(), false)
                    .idleTimeout(IDLE)
                    .httpRequestDecoder(
                            decoder -> decoder.maxHeaderSize(MAX_HEADER_BYTES).maxInitialLineLength(MAX_HEADER_BYTES))
                    .handle(this::handle)
                    .bindNow();
            return List.of();
        } catch (ChannelBindException e) {
            return List.of(new StartupFailure(NAME.value(), "can't listen for clients: " + e.getMessage()));
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

    /**
     * Goes on with a shutdown.
     *
     * @param next how far it has come
     */
    public void phase(Phase next) {
        phase = next;
        if (next == Phase.CLOSING) {
            forwarder.close();
        }
    }

    /**
     * What is in flight.
     *
     * @return the count of requests
     */
    public InFlight inFlight() {
        return inFlight;
    }

    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        long arrivalNanos = loop.nowNanos() - waitedNanos();
        RequestLog log = new RequestLog(dialect.requestId(request.requestHeaders()), arrivalNanos);
        return Mono.defer(() -> {
                    inFlight.enter();
                    return body(request)
                            .flatMap(body -> turns.next().thenReturn(body))
                            .flatMap(body -> serve(request, response, body, arrivalNanos, log));
                })
                .takeUntilOther(gone(request))
                .onErrorResume(BoundedBodyCollector.TooLargeException.class, error -> own(response, TOO_LARGE, log))
                .doOnError(error -> log.broken(error))
                .doOnCancel(log::clientGone)
                .doFinally(signal -> {
                    inFlight.leave();
                    log.end(loop.nowNanos());
                });
    }

    /**
     * How long a request that is read now has probably waited to be read: as long as the thread is behind. Counted from when
     * it is read, its time would outlast its client's; workers would be given requests that nobody waits for any more, and
     * final answers would come late by as much.
     */
    private long waitedNanos() {
        return TimeUnit.MILLISECONDS.toNanos(Math.min(MOST_WAITED_MILLIS, loop.lagMillis()));
    }

    /** Completes when the client's connection closes; a kept one doesn't go on listening for requests that have ended. */
    private static Mono<Void> gone(HttpServerRequest request) {
        return Mono.create(sink -> request.withConnection(connection -> {
            ChannelFuture closing = connection.channel().closeFuture();
            ChannelFutureListener listener = closed -> sink.success();
            closing.addListener(listener);
            sink.onDispose(() -> closing.removeListener(listener));
        }));
    }

    private Mono<byte[]> body(HttpServerRequest request) {
        int most = state.table().map(table -> table.limits().maxBodyBytes()).orElse(MAX_HEADER_BYTES);
        return new BoundedBodyCollector(most).collect(request.receive());
    }

    private Mono<Void> serve(
            HttpServerRequest request, HttpServerResponse response, byte[] body, long arrivalNanos, RequestLog log) {
        if (phase != Phase.SERVING) {
            response.header(HttpHeaderNames.CONNECTION, "close");
        }
        if (phase == Phase.CLOSING) {
            return own(response, OwnAnswer.notRun("shutting down", 1), log);
        }
        HttpHeaders headers = request.requestHeaders();
        Admission.Verdict verdict = admission.check(state.table(), headers, request.uri(), arrivalNanos);
        if (verdict instanceof Admission.Verdict.Refused refused) {
            return own(response, refused.answer(), log);
        }
        Call.Terms terms = ((Admission.Verdict.Admitted) verdict).terms();
        HttpHeaders passed = admission.passedOn(headers);
        if (body.length > 0 || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            passed.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        Call call = new Call(terms, request.method(), request.uri(), passed, body);
        log.call(call);
        return forwarder.forward(call).flatMap(reply -> answer(response, reply, log));
    }

    private Mono<Void> answer(HttpServerResponse response, Reply reply, RequestLog log) {
        if (reply instanceof Reply.Own own) {
            return own(response, own.answer(), log);
        }
        if (reply instanceof Reply.Whole whole) {
            log.status(whole.status(), "");
            response.status(whole.status());
            response.responseHeaders().add(Admission.answerHeaders(whole.headers()));
            response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(whole.body().length));
            return response.sendObject(Unpooled.wrappedBuffer(whole.body())).then();
        }
        Reply.Stream stream = (Reply.Stream) reply;
        log.status(stream.status(), "");
        response.status(stream.status());
        response.responseHeaders().add(Admission.answerHeaders(stream.headers()));
        response.chunkedTransfer(true);
        return response.send(
                        ByteBufFlux.fromInbound(Flux.from(stream.events()).map(Unpooled::wrappedBuffer)),
                        buffer -> true)
                .then()
                .doOnError(error -> {
                    log.broken(error);
                    response.withConnection(connection -> connection.channel().close());
                });
    }

    private static Mono<Void> own(HttpServerResponse response, OwnAnswer answer, RequestLog log) {
        log.status(answer.status(), answer.reason());
        response.status(answer.status());
        if (answer.retryAfterMillis() > 0) {
            response.header(HttpHeaderNames.RETRY_AFTER, RetryAfter.seconds(answer.retryAfterMillis()));
        }
        response.header(HttpHeaderNames.CONTENT_LENGTH, "0");
        return response.send().then();
    }
}
