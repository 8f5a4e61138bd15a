package org.dotterelcourse.gateway.forward;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.daemon.kernel.Kernel;
import org.dotterelcourse.daemon.kernel.Service;
import org.dotterelcourse.daemon.kernel.ServiceName;
import org.dotterelcourse.daemon.kernel.StartupFailure;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.metrics.GatewayMetrics;
import org.dotterelcourse.gateway.workers.Placement;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.quarantine.Verdict;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Forwards requests to workers. Retries at another worker where a repeated execution is safe and the deadline, the
 * route's limit of attempts and the upstream's retry budget allow it.
 */
public final class Forwarder implements Service {
    /** The name under which the kernel registers the service. */
    public static final ServiceName<Forwarder> NAME = new ServiceName<>("forwarder", Forwarder.class);

    /** Each unreachable worker costs a connect timeout; after this many, the client should rather retry later. */
    private static final int MAX_CONNECT_FAILURES = 4;

    /** Lowest status of an error response, which a worker may send without doing the work of the request. */
    private static final int BAD_REQUEST = 400;

    private final String dataCentre;
    private final Dialect dialect;
    private final ResponseValidator validator;
    private GatewayLoop loop;
    private GatewayState state;
    private WorkerClient client;
    private WorkerSelection selection;
    private EngineQueues queues;
    private RetryPolicy retries;
    private FinalReplies finalReplies;
    private StreamResumption resumption;
    private AttemptFailureHandler failureHandler;
    private WorkerStatementHandler statementHandler;
    private StreamForwarder streams;
    private Reachability reachability;
    private RelayAttempts relays;
    private ClientResumption clientResumption;
    private SlotAttempts slots;

    /**
     * Creates a forwarder.
     *
     * @param dataCentre the name of the data centre of this process, whose workers are preferred
     * @param dialect the platform-specific headers of workers
     */
    public Forwarder(String dataCentre, Dialect dialect) {
        this.dataCentre = dataCentre;
        this.dialect = dialect;
        this.validator = new ResponseValidator(dialect);
    }

    @Override
    public ServiceName<Forwarder> name() {
        return NAME;
    }

    @Override
    public List<ServiceName<?>> dependencies() {
        return List.of(GatewayLoop.NAME, GatewayState.NAME, GatewayMetrics.NAME, Reachability.NAME);
    }

    @Override
    public List<StartupFailure> start(Kernel kernel) {
        loop = kernel.find(GatewayLoop.NAME);
        state = kernel.find(GatewayState.NAME);
        reachability = kernel.find(Reachability.NAME);
        MetricRegistry metrics = kernel.find(GatewayMetrics.NAME).registry();
        ResponseMemory memory = ResponseMemory.ofHeap(loop::nowNanos, metrics);
        client = WorkerClient.forWorkers(loop, reachability, dialect, memory, metrics);
        failureHandler = new AttemptFailureHandler(loop, state, reachability, metrics);
        relays = new RelayAttempts(loop, reachability, memory, metrics);
        streams = new StreamForwarder(loop, state, reachability, failureHandler, metrics);
        clientResumption = new ClientResumption(loop, state, metrics);
        statementHandler = new WorkerStatementHandler(dialect, validator, state);
        slots = new SlotAttempts(loop, state);
        RandomGenerator random = RandomGenerator.getDefault();
        selection = new WorkerSelection(dataCentre, state, random);
        SharedBackoff sharedBackoff = new SharedBackoff(state, random);
        retries = new RetryPolicy(state);
        finalReplies = new FinalReplies(loop, sharedBackoff, state.shutdownSignal());
        resumption = new StreamResumption(loop, failureHandler, retries, call -> attempt(call, Optional.empty()));
        queues = new EngineQueues(loop, state, selection, sharedBackoff, random);
        return List.of();
    }

    /**
     * Sets the peers to which requests are relayed while this process has no link to the workers.
     *
     * @param peers the peers
     */
    public void relayThrough(RelayPeers peers) {
        relays.setPeers(peers);
    }

    /**
     * Sets the peers that remember the software versions of streams.
     *
     * @param peers the peers
     */
    public void resumeThrough(StreamVersionPeers peers) {
        clientResumption.setPeers(peers);
    }

    /**
     * Sets the source of slots of brittle workers.
     *
     * @param source the source
     */
    public void grantSlotsThrough(SlotSource source) {
        slots.setSource(source);
    }

    @Override
    public void stop() {
        // The connections are closed with the event loop.
    }

    /**
     * Forwards a request. Cancelling the subscription closes the connection to the worker, which stops the request.
     *
     * @param call the request
     * @return the reply to the client, exactly one
     */
    public Mono<Reply> forward(Call call) {
        return Mono.defer(() -> {
            state.retryBudget(call.attributes().upstream().name()).recordRequest(loop.nowNanos());
            selection.recordArrival(call, loop.nowNanos());
            return finalReplies.decideInTime(
                    call,
                    clientResumption
                            .bind(call)
                            .flatMap(rejection -> rejection.isPresent()
                                    ? Mono.just(rejection.get())
                                    : attempt(call, Optional.empty())));
        });
    }

    /**
     * Forwards a peer's request to one worker, and never to another process. The peer has counted the request for the retry
     * budget and decides on retries, for which the call's route allows none.
     *
     * @param call the request
     * @return the reply to the peer, exactly one
     */
    public Mono<Reply> forwardForPeer(Call call) {
        return Mono.defer(() -> {
            selection.recordArrival(call, loop.nowNanos());
            return finalReplies.decideInTime(call, attempt(call, Optional.empty()));
        });
    }

    /** Rejects all queued calls, when the process no longer accepts requests. May be called from any thread. */
    public void rejectQueued() {
        loop.execute(queues::rejectAll);
    }

    private Mono<Reply> attempt(Call call, Optional<BufferedResponse> earlierResponse) {
        long nowNanos = loop.nowNanos();
        if (!RetryPolicy.hasTimeLeft(call, nowNanos)) {
            return Mono.just(finalReplies.reply(call, earlierResponse, "no time left", nowNanos));
        }
        Verdict verdict = failureHandler.verdict(call);
        if (verdict instanceof Verdict.Quarantined quarantined) {
            return Mono.just(finalReplies.quarantined(call, earlierResponse, quarantined, loop.nowNanos()));
        }
        call.setSuspect(verdict instanceof Verdict.Suspect);
        Optional<RelayTarget> peer = relays.target(call);
        if (peer.isPresent()) {
            return sendToPeer(call, peer.get(), earlierResponse);
        }
        if (EngineQueues.isQueueable(call)) {
            return queues.admit(call).flatMap(result -> afterQueue(call, result));
        }
        return sendToSelected(call, selection.place(call, nowNanos), earlierResponse);
    }

    private Mono<Reply> afterQueue(Call call, EngineQueues.AdmissionResult result) {
        if (result instanceof EngineQueues.AdmissionResult.Rejected rejected) {
            return Mono.just(new Reply.Local(LocalReply.notExecuted(rejected.reason(), rejected.retryAfterMillis())));
        }
        return sendToSelected(call, ((EngineQueues.AdmissionResult.Dispatched) result).outcome(), Optional.empty());
    }

    private Mono<Reply> sendToSelected(
            Call call, WorkerSelection.Outcome outcome, Optional<BufferedResponse> earlierResponse) {
        if (!(outcome instanceof WorkerSelection.Outcome.Placed placed)) {
            return Mono.just(finalReplies.reply(
                    call, earlierResponse, relays.explain(call, "no worker is free"), loop.nowNanos()));
        }
        Placement placement = placed.placement();
        if (failureHandler.verdict(call) instanceof Verdict.Quarantined quarantined) {
            placement.end();
            return Mono.just(finalReplies.quarantined(call, earlierResponse, quarantined, loop.nowNanos()));
        }
        if (!call.versions().accepts(placement.entry())) {
            placement.end();
            return Mono.just(finalReplies.reply(
                    call, earlierResponse, "workers crash under a part of this prompt", loop.nowNanos()));
        }
        if (!slots.isNeeded(placement)) {
            return sendPlaced(call, placed, earlierResponse);
        }
        return slots.acquire(call, placement)
                .flatMap(hasSlot -> hasSlot
                        ? sendPlaced(call, placed, earlierResponse)
                        : sendElsewhere(call, placed, earlierResponse))
                .doOnCancel(placement::end);
    }

    private Mono<Reply> sendElsewhere(
            Call call, WorkerSelection.Outcome.Placed placed, Optional<BufferedResponse> earlierResponse) {
        placed.placement().endGone();
        long nowNanos = loop.nowNanos();
        return slots.mayTryAgain(call, nowNanos)
                ? sendToSelected(call, selection.place(call, nowNanos), earlierResponse)
                : Mono.just(finalReplies.reply(call, earlierResponse, SlotAttempts.NO_ROOM, nowNanos));
    }

    private Mono<Reply> sendPlaced(
            Call call, WorkerSelection.Outcome.Placed placed, Optional<BufferedResponse> earlierResponse) {
        Placement placement = placed.placement();
        long nowNanos = loop.nowNanos();
        selection.recordSend(call, placed, nowNanos);
        clientResumption.recordSend(call);
        return send(call, placed)
                .timeout(
                        Duration.ofMillis(call.remainingMillis(nowNanos) + StreamForwarder.DEADLINE_GRACE_MILLIS),
                        loop.scheduler())
                .onErrorResume(TimeoutException.class, error -> Mono.just(handleTimeout(call, placement)))
                .onErrorResume(
                        WorkerConnectionException.class,
                        error -> handleConnectionFailure(call, placement, error, earlierResponse))
                .doOnCancel(placement::end);
    }

    private Mono<Reply> send(Call call, WorkerSelection.Outcome.Placed placed) {
        Placement placement = placed.placement();
        WorkerEntry worker = placement.entry();
        return client.send(
                        new InetSocketAddress(worker.host(), worker.port()),
                        call.method(),
                        call.uri(),
                        call.workerHeaders(dialect, worker.id(), placed.fetchFrom(), loop.nowNanos()),
                        call.body(),
                        reachability.listener(worker))
                .doOnNext(response -> reachability.recordReceived(loop.nowNanos()))
                .transform(response -> relays.abortWhenCutOff(call, response))
                .flatMap(response -> handleResponse(call, placement, response))
                .doOnError(error -> placement.endGone());
    }

    /** Relays the request to a peer. The retries and the deadline are those of a request to a worker. */
    private Mono<Reply> sendToPeer(Call call, RelayTarget peer, Optional<BufferedResponse> earlierResponse) {
        long nowNanos = loop.nowNanos();
        call.recordRelay(peer.name(), nowNanos);
        Placement placement = relays.placement(call, state, nowNanos);
        return relays.send(call, peer)
                .flatMap(result -> handleRelayResult(call, peer, result, earlierResponse))
                .timeout(
                        Duration.ofMillis(call.remainingMillis(nowNanos) + StreamForwarder.DEADLINE_GRACE_MILLIS),
                        loop.scheduler())
                .onErrorResume(TimeoutException.class, error -> Mono.just(handleTimeout(call, placement)))
                .onErrorResume(
                        WorkerConnectionException.class,
                        error -> handleResult(call, placement, relays.toResult(call, peer, error), earlierResponse));
    }

    private Mono<Reply> handleRelayResult(
            Call call, RelayTarget peer, RelayResult result, Optional<BufferedResponse> earlierResponse) {
        Placement placement = relays.placement(call, state, loop.nowNanos());
        if (result instanceof RelayResult.Responded responded) {
            if (relays.acceptsVersion(call, placement)) {
                clientResumption.recordSend(call);
                return handleResponse(call, placement, responded.response());
            }
            responded.response().close().run();
            return handleResult(
                    call,
                    placement,
                    new AttemptResult.Unknown("peer " + peer.name() + " used a worker of another software version"),
                    earlierResponse);
        }
        if (result instanceof RelayResult.NotExecuted notExecuted) {
            call.recordRelayRetryAfter(notExecuted.retryAfterMillis());
        }
        return handleResult(call, placement, relays.toResult(call, peer, result), earlierResponse);
    }

    private Mono<Reply> handleResponse(Call call, Placement placement, StreamedResponse response) {
        if (validator.isStreamable(call, response)) {
            statementHandler.handle(call, placement.entry(), response, loop.nowNanos());
            Flux<byte[]> events =
                    streams.forward(call, placement, response, error -> resumption.resume(call, placement, error));
            return Mono.just(new Reply.Streamed(response.status(), response.headers(), events));
        }
        return BufferedResponse.collect(response, call.holds())
                .doFinally(signal -> placement.end())
                .doOnNext(buffered -> statementHandler.handle(call, placement.entry(), response, loop.nowNanos()))
                .doOnNext(buffered -> validator.closeUnlessFromWorker(call, response))
                .flatMap(buffered ->
                        handleResult(call, placement, validator.classify(call, buffered), Optional.empty()));
    }

    private Mono<Reply> handleConnectionFailure(
            Call call,
            Placement placement,
            WorkerConnectionException error,
            Optional<BufferedResponse> earlierResponse) {
        if (!error.isSent()) {
            call.recordConnectFailure();
            return handleResult(
                    call,
                    placement,
                    new AttemptResult.NotExecuted("not reached: " + error.getMessage(), false),
                    earlierResponse);
        }
        Mono<Void> handled = failureHandler.handleFailure(call, placement.entry(), error.getMessage());
        Mono<Reply> reply = Mono.defer(
                () -> handleResult(call, placement, new AttemptResult.Unknown(error.getMessage()), earlierResponse));
        return call.attributes().route().isRetryable() ? handled.then(reply) : reply;
    }

    private Mono<Reply> handleResult(
            Call call, Placement placement, AttemptResult result, Optional<BufferedResponse> earlierResponse) {
        long nowNanos = loop.nowNanos();
        if (result instanceof AttemptResult.Responded responded) {
            return replyOrRetry(call, placement, responded.response(), nowNanos);
        }
        if (result instanceof AttemptResult.NotExecuted notExecuted) {
            if (notExecuted.wasReached()) {
                slots.logRejection(call, placement, notExecuted.reason());
                placement.recordRejection(nowNanos);
            } else {
                placement.recordConnectFailure(nowNanos);
            }
            boolean shouldRetry = notExecuted.wasReached()
                    ? retries.tryAcquire(call, nowNanos)
                    : relays.mayTryAgain(call, MAX_CONNECT_FAILURES);
            return shouldRetry
                    ? attempt(call, earlierResponse)
                    : Mono.just(finalReplies.reply(
                            call, earlierResponse, relays.explain(call, notExecuted.reason()), nowNanos));
        }
        placement.recordFailure(nowNanos);
        call.markPossiblyExecuted();
        if (call.attributes().route().isRetryable() && retries.tryAcquire(call, nowNanos)) {
            return attempt(call, earlierResponse);
        }
        return Mono.just(
                finalReplies.reply(call, earlierResponse, ((AttemptResult.Unknown) result).reason(), nowNanos));
    }

    /**
     * Passes on a worker's complete response. After a server error, an idempotent request is retried first; the error
     * response is passed on if there is no retry or the connection of the retry fails.
     */
    private Mono<Reply> replyOrRetry(Call call, Placement placement, BufferedResponse response, long nowNanos) {
        if (!response.isServerError()) {
            placement.recordSuccess(nowNanos);
            if (response.status() < BAD_REQUEST) {
                placement.recordPlainResponse(nowNanos);
            }
            failureHandler.recordFinished(call, response.status() < BAD_REQUEST);
            return Mono.just(response.toReply());
        }
        placement.recordErrorResponse(nowNanos);
        call.markPossiblyExecuted();
        if (call.attributes().route().isRetryable() && retries.tryAcquire(call, nowNanos)) {
            return attempt(call, Optional.of(response));
        }
        return Mono.just(response.toReply());
    }

    /** Handles a deadline that passes while a worker has the request, which may still be running there. */
    private Reply handleTimeout(Call call, Placement placement) {
        placement.end();
        placement.recordFailure(loop.nowNanos());
        call.markPossiblyExecuted();
        return new Reply.Local(new LocalReply(LocalReply.GATEWAY_TIMEOUT, "timeout", 0));
    }
}
