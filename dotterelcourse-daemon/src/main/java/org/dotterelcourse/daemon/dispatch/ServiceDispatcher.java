package org.dotterelcourse.daemon.dispatch;

import java.time.Duration;

import org.dotterelcourse.daemon.upstream.PlainService;
import org.dotterelcourse.daemon.upstream.ServiceCall;
import org.dotterelcourse.daemon.upstream.ServiceReply;
import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.retry.Attempt;
import org.dotterelcourse.policy.retry.RetryDecision;
import reactor.core.publisher.Mono;

/**
 * Dispatches a call to a plain service: requests a grant, sends the call and retries it at another worker where that is
 * safe. A call that is not idempotent is sent to one worker at most, unless it certainly did not run there.
 */
public final class ServiceDispatcher {
    /**
     * Timeout of an idempotent call, as a multiple of its target. A connection that has become silent does not recover, and
     * after this time an answer of another worker is only slightly late.
     */
    private static final int IDEMPOTENT_TIMEOUT_TARGETS = 2;

    /**
     * Timeout of a call that is not idempotent, as a multiple of its target. It covers the time in which an answer is still
     * useful, because the call cannot be retried at another worker.
     */
    private static final int ONCE_TIMEOUT_TARGETS = 10;

    private static final long MIN_TIMEOUT_MILLIS = 1_000;

    private final GrantSource grants;
    private final PlainService service;
    private final Retries retries;

    /**
     * Creates a dispatcher.
     *
     * @param grants source of the grants for workers
     * @param service sends calls to workers
     * @param retries decides whether and how failed attempts are retried
     */
    public ServiceDispatcher(GrantSource grants, PlainService service, Retries retries) {
        this.grants = grants;
        this.service = service;
        this.retries = retries;
    }

    /**
     * Runs a call. Cancelling withdraws the call, or closes the connection to its worker.
     *
     * @param request the call
     * @param workers notified of each worker that the call is sent to
     * @return the answer or failure, never an error
     */
    public Mono<ServiceAnswer> dispatch(ServiceRequest request, WorkerListener workers) {
        return Mono.defer(() -> attempt(
                new CallState(request, workers, request.requestClass().idempotent()), CellRequests.of(request), false));
    }

    private Mono<ServiceAnswer> attempt(CallState state, CellRequest cellRequest, boolean mayHaveRun) {
        return grants.ask(state.request().requestClass().upstream(), cellRequest)
                .flatMap(result -> {
                    if (result instanceof GrantResult.Granted granted) {
                        return use(state, cellRequest, granted.grant(), mayHaveRun);
                    }
                    return Mono.just(
                            new ServiceAnswer.Failed(Refusals.failure((GrantResult.Refused) result, mayHaveRun)));
                });
    }

    private Mono<ServiceAnswer> use(CallState state, CellRequest cellRequest, Grant grant, boolean mayHaveRun) {
        return Mono.using(
                GrantUse::new,
                use -> grants.mayUse(grant)
                        .flatMap(usable -> usable
                                ? send(state, cellRequest, grant, use, mayHaveRun)
                                : attempt(state, cellRequest, mayHaveRun)),
                use -> use.release(grants, grant));
    }

    private Mono<ServiceAnswer> send(
            CallState state, CellRequest cellRequest, Grant grant, GrantUse use, boolean mayHaveRun) {
        state.workers().sentTo(grant.worker().name());
        return service.call(serviceCall(state, grant))
                .doOnNext(reply -> {
                    use.record(reply);
                    // Release before the next attempt: a request never holds a grant while it waits for another.
                    use.release(grants, grant);
                })
                .flatMap(reply -> handleReply(state, cellRequest, grant, reply, mayHaveRun));
    }

    private Mono<ServiceAnswer> handleReply(
            CallState state, CellRequest cellRequest, Grant grant, ServiceReply reply, boolean mayHaveRun) {
        String upstream = state.request().requestClass().upstream();
        if (reply instanceof ServiceReply.Answered answered) {
            retries.succeeded(upstream);
            return Mono.just(new ServiceAnswer.Answered(answered.status(), answered.contentType(), answered.body()));
        }
        UpstreamFailure failure = ((ServiceReply.Failed) reply).failure();
        boolean mayHaveRunSoFar = mayHaveRun || !failure.notRun();
        Attempt attempt = Retries.attempt(grant.worker().name(), failure, 0);
        if (retries.decide(upstream, cellRequest, attempt, false) instanceof RetryDecision.Restart restart) {
            return attempt(state.afterFailure(failure), restart.request(), mayHaveRunSoFar);
        }
        return Mono.just(new ServiceAnswer.Failed(Refusals.failure(failure, mayHaveRunSoFar)));
    }

    /** A call with its listener, and whether its next attempt may use a pooled connection. */
    private record CallState(ServiceRequest request, WorkerListener workers, boolean pooled) {
        /**
         * Returns the state for the next attempt. After a timeout without an answer it uses a new connection: a device on
         * the network path, such as a firewall, may have dropped the state of all idle connections. A second attempt over
         * a pooled connection would then time out as well, and the call would fail although both workers are available.
         */
        CallState afterFailure(UpstreamFailure failure) {
            boolean silent = failure.kind() == UpstreamFailure.Kind.SILENT;
            return new CallState(request, workers, pooled && !silent);
        }
    }

    private static ServiceCall serviceCall(CallState state, Grant grant) {
        ServiceRequest request = state.request();
        boolean idempotent = request.requestClass().idempotent();
        long timeoutTargets = idempotent ? IDEMPOTENT_TIMEOUT_TARGETS : ONCE_TIMEOUT_TARGETS;
        long timeoutMillis = Math.max(
                MIN_TIMEOUT_MILLIS, timeoutTargets * request.requestClass().targetMillis());
        return new ServiceCall(
                grant.worker().address(),
                request.id(),
                request.method(),
                request.path(),
                request.contentType(),
                request.body(),
                state.pooled(),
                Duration.ofMillis(timeoutMillis));
    }
}
