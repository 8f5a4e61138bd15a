package org.dotterelcourse.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.policy.quarantine.Verdict;
import org.dotterelcourse.policy.selection.EngineModel;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Sends a request to a worker, and to another one where that is allowed and pays, until there is a final answer. */
public final class Forwarder implements Service {
    /** The name that it is found by. */
    public static final ServiceName<Forwarder> NAME = new ServiceName<>("forwarder", Forwarder.class);

    /** Workers that can't be reached cost a connect timeout each; after some of them the client had better come back. */
    private static final int MOST_CONNECT_FAILURES = 4;

    /** About the work of a few plain calls: by then a slot has become free. */
    private static final long RETRY_AFTER_FULL_MILLIS = 250;

    /** Below this no worker can answer in time, so that none is bothered. */
    private static final long LEAST_LEFT_MILLIS = 15;

    /** A worker's own answer at the deadline is on its way by then. */
    private static final long DEADLINE_GRACE_MILLIS = 60;

    private final String dataCentre;
    private final Dialect dialect;
    private final AnswerCheck check;
    private GatewayLoop loop;
    private GatewayState state;
    private WorkerClient client;
    private Selection selection;
    private EngineLines lines;
    private BrokenAttempts broken;

    /**
     * Makes a forwarder.
     *
     * @param dataCentre where this process stands
     * @param dialect how workers spell things
     */
    public Forwarder(String dataCentre, Dialect dialect) {
        this.dataCentre = dataCentre;
        this.dialect = dialect;
        this.check = new AnswerCheck(dialect);
    }

    @Override
    public ServiceName<Forwarder> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        client = new WorkerClient(loop);
        broken = new BrokenAttempts(loop, state);
        RandomGenerator random = RandomGenerator.getDefault();
        selection = new Selection(dataCentre, state, random);
        lines = new EngineLines(loop, state, selection, random);
        return List.of();
    }

    @Override
    public void stop() {
        // Connections end with the loop.
    }

    /**
     * Forwards a request. Cancelling it takes the request back from its worker.
     *
     * @param call the request
     * @return the answer, exactly one
     */
    public Mono<Reply> forward(Call call) {
        return Mono.defer(() -> {
            state.retryBudget(call.terms().upstream().name()).recordRequest(loop.nowNanos());
            selection.arrived(call, loop.nowNanos());
            return attempt(call, Optional.empty());
        });
    }

    /** Nothing is taken on any more: calls that wait for an engine get their final answer. */
    public void close() {
        loop.execute(lines::close);
    }

    private Mono<Reply> attempt(Call call, Optional<WholeAnswer> earlier) {
        long now = loop.nowNanos();
        if (call.leftMillis(now) < LEAST_LEFT_MILLIS) {
            return Mono.just(last(call, earlier, "no time left"));
        }
        Verdict verdict = broken.verdict(call);
        if (verdict instanceof Verdict.Quarantined held) {
            return Mono.just(quarantined(call, earlier, held));
        }
        call.suspect(verdict instanceof Verdict.Suspect);
        if (EngineLines.waits(call)) {
            return lines.admit(call).flatMap(admitted -> admitted(call, admitted));
        }
        return outcome(call, selection.place(call, now), earlier);
    }

    private Mono<Reply> admitted(Call call, EngineLines.Admitted admitted) {
        if (admitted instanceof EngineLines.Admitted.Refused refused) {
            return Mono.just(new Reply.Own(
                    OwnAnswer.notRun("the engines are too full for an answer in time", refused.retryAfterMillis())));
        }
        return outcome(call, ((EngineLines.Admitted.Through) admitted).outcome(), Optional.empty());
    }

    private Mono<Reply> outcome(Call call, Selection.Outcome outcome, Optional<WholeAnswer> earlier) {
        if (!(outcome instanceof Selection.Outcome.Placed placed)) {
            return Mono.just(last(call, earlier, "no worker is free"));
        }
        Placement placement = placed.placement();
        if (broken.verdict(call) instanceof Verdict.Quarantined held) {
            placement.end();
            return Mono.just(quarantined(call, earlier, held));
        }
        long now = loop.nowNanos();
        return send(call, placed)
                .timeout(Duration.ofMillis(call.leftMillis(now) + DEADLINE_GRACE_MILLIS), loop.scheduler())
                .onErrorResume(TimeoutException.class, error -> Mono.just(timedOut(call, placement)))
                .onErrorResume(SendFailure.class, error -> failed(call, placement, error, earlier))
                .doOnCancel(placement::end);
    }

    private Mono<Reply> send(Call call, Selection.Outcome.Placed placed) {
        Placement placement = placed.placement();
        return client.send(placement.entry(), call.method(), call.uri(), workerHeaders(call, placed), call.body())
                .flatMap(open -> answered(call, placement, open))
                .doOnError(error -> placement.end());
    }

    private Mono<Reply> answered(Call call, Placement placement, OpenAnswer open) {
        hearLimit(call, placement, open);
        if (check.passable(call, open)) {
            Flux<byte[]> events = relay(call, placement, open).takeUntilOther(deadline(call));
            return Mono.just(new Reply.Stream(open.status(), open.headers(), events));
        }
        return collect(open)
                .doFinally(signal -> placement.end())
                .doOnNext(answer -> closeUnlessOwn(call, open))
                .flatMap(answer -> decide(call, placement, check.classify(call, answer), Optional.empty()));
    }

    /** A limit counts whatever the answer is; its end only where the worker has answered as it always does. */
    private void hearLimit(Call call, Placement placement, OpenAnswer open) {
        OptionalDouble named = dialect.requestsPerSecond(open.headers());
        boolean whole = dialect.marked(open.headers()) && open.status() / 100 == 2;
        if (check.answers(call, open.headers()) && (named.isPresent() || whole)) {
            state.recordWorkerLimit(placement.entry(), named, loop.nowNanos());
        }
    }

    /** A stream that outlasts its route's timeout is cut, and the cut is visible: its client gets an error, not an end. */
    private Mono<Void> deadline(Call call) {
        Duration left = Duration.ofMillis(Math.max(0, call.leftMillis(loop.nowNanos())) + DEADLINE_GRACE_MILLIS);
        return Mono.delay(left, loop.scheduler()).then(Mono.error(() -> new StreamTimeoutException()));
    }

    /** Behind an answer that belongs to another request, more of them may follow. */
    private void closeUnlessOwn(Call call, OpenAnswer open) {
        if (!check.own(call, open)) {
            open.close().run();
        }
    }

    private static Mono<WholeAnswer> collect(OpenAnswer open) {
        return open.body()
                .collect(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
                .map(bytes -> new WholeAnswer(open.status(), open.headers(), bytes.toByteArray()));
    }

    private Mono<Reply> failed(Call call, Placement placement, SendFailure error, Optional<WholeAnswer> earlier) {
        if (!error.sent()) {
            call.notReached();
            return decide(
                    call, placement, new AttemptResult.NotRun("not reached: " + error.getMessage(), false), earlier);
        }
        Mono<Void> followed = broken.broke(call, placement.entry(), error.getMessage());
        Mono<Reply> decided =
                Mono.defer(() -> decide(call, placement, new AttemptResult.Unknown(error.getMessage()), earlier));
        return call.terms().route().isRetryable() ? followed.then(decided) : decided;
    }

    private Mono<Reply> decide(Call call, Placement placement, AttemptResult result, Optional<WholeAnswer> earlier) {
        long now = loop.nowNanos();
        if (result instanceof AttemptResult.Answered answered) {
            return answered(call, placement, answered.answer(), now);
        }
        if (result instanceof AttemptResult.NotRun notRun) {
            if (notRun.reached()) {
                placement.recordRejection(now);
            } else {
                placement.recordConnectFailure(now);
            }
        } else {
            placement.recordFailure(now);
        }
        if (result instanceof AttemptResult.NotRun notRun) {
            boolean again = notRun.reached() ? mayRepeat(call, now) : call.connectFailures() < MOST_CONNECT_FAILURES;
            return again ? attempt(call, earlier) : Mono.just(last(call, earlier, notRun.reason()));
        }
        call.mayHaveRun();
        AttemptResult.Unknown unknown = (AttemptResult.Unknown) result;
        if (call.terms().route().isRetryable() && mayRepeat(call, now)) {
            return attempt(call, earlier);
        }
        return Mono.just(last(call, earlier, unknown.reason()));
    }

    /** A failure that an idempotent request may outlive is tried elsewhere; if that fails too, this answer stands. */
    private Mono<Reply> answered(Call call, Placement placement, WholeAnswer answer, long now) {
        if (!answer.failed()) {
            placement.recordSuccess(now);
            broken.finished(call);
            return Mono.just(whole(answer));
        }
        placement.recordErrorResponse(now);
        call.mayHaveRun();
        if (call.terms().route().isRetryable() && mayRepeat(call, now)) {
            return attempt(call, Optional.of(answer));
        }
        return Mono.just(whole(answer));
    }

    private boolean mayRepeat(Call call, long now) {
        return call.sends() < call.terms().route().maxAttempts()
                && call.leftMillis(now) >= LEAST_LEFT_MILLIS
                && state.retryBudget(call.terms().upstream().name()).tryAcquire(now);
    }

    private Flux<byte[]> relay(Call call, Placement placement, OpenAnswer open) {
        EventFramer framer = new EventFramer();
        return open.body()
                .concatMapIterable(framer::take)
                .doOnNext(event -> {
                    placement.recordFirstEvent();
                    call.event(event.id(), loop.nowNanos());
                    observe(call);
                })
                .map(EventFramer.Event::bytes)
                .concatWith(Mono.defer(() -> framer.betweenEvents()
                        ? Mono.empty()
                        : Mono.error(new SendFailure(true, new IllegalStateException("ended inside an event")))))
                .doOnComplete(() -> ended(call, placement))
                .doFinally(signal -> placement.end())
                .onErrorResume(SendFailure.class, error -> resume(call, placement, error));
    }

    private void observe(Call call) {
        EngineModel model = state.engineModel(call.terms().upstream().name());
        if (call.events() > 1) {
            model.recordEventGap(call.lastPauseMillis(), call.terms().upstream().tokensPerEvent());
        } else if (EngineLines.patient(call)) {
            model.recordFirstEvent(call.sinceSentMillis(loop.nowNanos()));
        }
    }

    private void ended(Call call, Placement placement) {
        placement.recordSuccess(loop.nowNanos());
        broken.finished(call);
        if (EngineLines.patient(call)) {
            int tokens = call.events() * call.terms().upstream().tokensPerEvent();
            state.engineModel(call.terms().upstream().name()).recordCompletion(tokens);
        }
    }

    /** Goes on after the last whole event at another worker; the broken connection has stopped the first one. */
    private Flux<byte[]> resume(Call call, Placement placement, SendFailure error) {
        placement.recordFailure(loop.nowNanos());
        Mono<Void> followed = broken.broke(call, placement.entry(), error.getMessage());
        if (!call.terms().route().isRetryable()) {
            return Flux.error(error);
        }
        return followed.thenMany(Flux.defer(() -> goOn(call, error)));
    }

    private Flux<byte[]> goOn(Call call, SendFailure error) {
        if (!mayRepeat(call, loop.nowNanos())) {
            return Flux.error(error);
        }
        return attempt(call, Optional.empty())
                .flatMapMany(reply -> reply instanceof Reply.Stream stream ? stream.events() : Flux.error(error));
    }

    private HttpHeaders workerHeaders(Call call, Selection.Outcome.Placed placed) {
        HttpHeaders headers = new DefaultHttpHeaders().add(call.headers());
        Call.Terms terms = call.terms();
        long left = Math.max(1, call.leftMillis(loop.nowNanos()));
        dialect.tellWorker(
                headers,
                new Dialect.ToWorker(
                        placed.placement().entry().id(),
                        terms.customer(),
                        left,
                        terms.priority(),
                        terms.upstream().engine(),
                        placed.fetchFrom()));
        if (!call.lastEventId().isEmpty()) {
            headers.set(dialect.lastEventHeader(), call.lastEventId());
        }
        return headers;
    }

    /** The time is up while a worker has the request: it may be running still. */
    private Reply timedOut(Call call, Placement placement) {
        placement.end();
        placement.recordFailure(loop.nowNanos());
        call.mayHaveRun();
        return new Reply.Own(new OwnAnswer(OwnAnswer.GATEWAY_TIMEOUT, "timeout", 0));
    }

    /**
     * The answer when nothing more is tried: a worker's own if there is one. That the request was not run is said only if
     * no attempt of it may have run.
     */
    private static Reply last(Call call, Optional<WholeAnswer> earlier, String reason) {
        if (earlier.isPresent()) {
            return whole(earlier.get());
        }
        return new Reply.Own(
                call.hasMaybeRun() ? OwnAnswer.unknown(reason) : OwnAnswer.notRun(reason, RETRY_AFTER_FULL_MILLIS));
    }

    /** The refusal of a request that crashes workers, unless there is something better or it may have run. */
    private static Reply quarantined(Call call, Optional<WholeAnswer> earlier, Verdict.Quarantined held) {
        String reason = "workers crash under this request";
        boolean refused = earlier.isEmpty() && !call.hasMaybeRun();
        return refused ? new Reply.Own(OwnAnswer.notRun(reason, held.retryAfterMillis())) : last(call, earlier, reason);
    }

    private static Reply whole(WholeAnswer answer) {
        return new Reply.Whole(answer.status(), answer.headers(), answer.body());
    }
}
