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
 * Takes a call to a plain service from the ask to the answer. A call that may not run twice is written to one worker at
 * most, whatever happens after that.
 */
public final class ServiceDispatcher {
    /**
     * A call that may run again is given up after twice its target: on a connection that has gone silent nothing will
     * come, and another worker can still answer not much too late.
     */
    private static final int IDEMPOTENT_TIMEOUT_TARGETS = 2;

    /** A call that may run only once is waited for as long as an answer can make sense: nobody else may be asked. */
    private static final int ONCE_TIMEOUT_TARGETS = 10;

    private static final long SHORTEST_TIMEOUT_MILLIS = 1_000;

    private final GrantSource grants;
    private final PlainService service;
    private final Retries retries;

    /**
     * Makes a dispatcher.
     *
     * @param grants where the leave to use a worker comes from
     * @param service calls workers
     * @param retries decides what follows a failure
     */
    public ServiceDispatcher(GrantSource grants, PlainService service, Retries retries) {
        this.grants = grants;
        this.service = service;
        this.retries = retries;
    }

    /**
     * Runs a call. Cancelling withdraws it, or closes the connection to its worker.
     *
     * @param request the call
     * @param workers hears of each worker that it is sent to
     * @return one value, never an error
     */
    public Mono<ServiceAnswer> dispatch(ServiceRequest request, WorkerListener workers) {
        return Mono.defer(() ->
                attempt(new Sending(request, workers, request.requestClass().idempotent()), Asks.of(request), false));
    }

    private Mono<ServiceAnswer> attempt(Sending sending, CellRequest ask, boolean mayHaveRun) {
        return grants.ask(sending.request().requestClass().upstream(), ask).flatMap(result -> {
            if (result instanceof GrantResult.Granted granted) {
                return use(sending, ask, granted.grant(), mayHaveRun);
            }
            return Mono.just(new ServiceAnswer.Failed(Refusals.failure((GrantResult.Refused) result, mayHaveRun)));
        });
    }

    private Mono<ServiceAnswer> use(Sending sending, CellRequest ask, Grant grant, boolean mayHaveRun) {
        return Mono.using(
                GrantUse::new,
                use -> grants.mayUse(grant)
                        .flatMap(usable -> usable
                                ? send(sending, ask, grant, use, mayHaveRun)
                                : attempt(sending, ask, mayHaveRun)),
                use -> use.release(grants, grant));
    }

    private Mono<ServiceAnswer> send(Sending sending, CellRequest ask, Grant grant, GrantUse use, boolean mayHaveRun) {
        sending.workers().sentTo(grant.worker().name());
        return service.call(call(sending, grant))
                .doOnNext(reply -> {
                    use.add(reply);
                    // Before the next attempt asks: see ChatDispatcher.
                    use.release(grants, grant);
                })
                .flatMap(reply -> next(sending, ask, grant, reply, mayHaveRun));
    }

    private Mono<ServiceAnswer> next(
            Sending sending, CellRequest ask, Grant grant, ServiceReply reply, boolean mayHaveRun) {
        String upstream = sending.request().requestClass().upstream();
        if (reply instanceof ServiceReply.Answered answered) {
            retries.succeeded(upstream);
            return Mono.just(new ServiceAnswer.Answered(answered.status(), answered.contentType(), answered.body()));
        }
        UpstreamFailure failure = ((ServiceReply.Failed) reply).failure();
        boolean mayHaveRunNow = mayHaveRun || !failure.notRun();
        Attempt attempt = Retries.attempt(grant.worker().name(), failure, 0);
        if (retries.decide(upstream, ask, attempt, false) instanceof RetryDecision.Restart elsewhere) {
            return attempt(sending.after(failure), elsewhere.request(), mayHaveRunNow);
        }
        return Mono.just(new ServiceAnswer.Failed(Refusals.failure(failure, mayHaveRunNow)));
    }

    /** A call with its listener, and whether its next attempt may go over a pooled connection. */
    private record Sending(ServiceRequest request, WorkerListener workers, boolean pooled) {
        /**
         * Something on the way may have lost track of all connections while they lay idle. A call that waited for nothing
         * over one of them would do so again at the next worker, and be refused though both workers are there; over a
         * connection of its own it is answered.
         */
        Sending after(UpstreamFailure failure) {
            boolean silent = failure.kind() == UpstreamFailure.Kind.SILENT;
            return new Sending(request, workers, pooled && !silent);
        }
    }

    private static ServiceCall call(Sending sending, Grant grant) {
        ServiceRequest request = sending.request();
        boolean idempotent = request.requestClass().idempotent();
        long targets = idempotent ? IDEMPOTENT_TIMEOUT_TARGETS : ONCE_TIMEOUT_TARGETS;
        long timeoutMillis = Math.max(
                SHORTEST_TIMEOUT_MILLIS, targets * request.requestClass().targetMillis());
        return new ServiceCall(
                grant.worker().address(),
                request.id(),
                request.method(),
                request.path(),
                request.contentType(),
                request.body(),
                sending.pooled(),
                Duration.ofMillis(timeoutMillis));
    }
}
