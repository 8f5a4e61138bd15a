package org.dotterelcourse.daemon.dispatch;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.upstream.PlainService;
import org.dotterelcourse.daemon.upstream.ServiceCall;
import org.dotterelcourse.daemon.upstream.ServiceReply;
import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.Ask;
import reactor.core.publisher.Mono;

/**
 * Takes a call to a plain service from the ask to the answer. A call that may not run twice is written to one worker at
 * most, whatever happens after that.
 */
public final class ServiceDispatcher {
    /** An answer that takes ten times its target is not coming; very short targets get five seconds all the same. */
    private static final int TIMEOUT_TARGETS = 10;

    private static final long SHORTEST_TIMEOUT_MILLIS = 5_000;

    private final GrantSource grants;
    private final PlainService service;
    private final RetryPolicy retries;
    private final AskIds ids;

    /**
     * Makes a dispatcher.
     *
     * @param grants where the leave to use a worker comes from
     * @param service calls workers
     * @param retries decides what follows a failure
     * @param ids makes the id of each ask
     */
    public ServiceDispatcher(GrantSource grants, PlainService service, RetryPolicy retries, AskIds ids) {
        this.grants = grants;
        this.service = service;
        this.retries = retries;
        this.ids = ids;
    }

    /**
     * Runs a call. Cancelling withdraws it, or closes the connection to its worker.
     *
     * @param request the call
     * @return one value, never an error
     */
    public Mono<ServiceAnswer> dispatch(ServiceRequest request) {
        return Mono.defer(() -> attempt(new Attempts(request)));
    }

    private Mono<ServiceAnswer> attempt(Attempts attempts) {
        return grants.ask(attempts.request.requestClass().upstream(), attempts.ask(ids.next()))
                .flatMap(result -> {
                    if (result instanceof GrantResult.Granted granted) {
                        return use(attempts, granted.grant());
                    }
                    return Mono.just(new ServiceAnswer.Failed(
                            Refusals.failure((GrantResult.Refused) result, attempts.mayHaveRun)));
                });
    }

    private Mono<ServiceAnswer> use(Attempts attempts, Grant grant) {
        // See ChatDispatcher: a paused process must not use a grant that has run out.
        if (!grants.mayUse(grant)) {
            grants.release(grant, GrantUse.unused());
            return attempt(attempts);
        }
        GrantUse use = new GrantUse();
        return service.call(attempts.call(grant))
                .doOnNext(reply -> {
                    use.add(reply);
                    use.release(grants, grant);
                })
                .doFinally(signal -> use.release(grants, grant))
                .flatMap(reply -> next(attempts, grant, reply));
    }

    private Mono<ServiceAnswer> next(Attempts attempts, Grant grant, ServiceReply reply) {
        if (reply instanceof ServiceReply.Answered answered) {
            retries.succeeded(grant.cell());
            return Mono.just(new ServiceAnswer.Answered(answered.status(), answered.contentType(), answered.body()));
        }
        UpstreamFailure failure = ((ServiceReply.Failed) reply).failure();
        attempts.failedAt(grant.worker().name(), failure);
        boolean idempotent = attempts.request.requestClass().idempotent();
        RetryPolicy.Decision decision = retries.decide(grant.cell(), failure, idempotent, attempts.failed);
        if (decision instanceof RetryPolicy.Again) {
            return attempt(attempts);
        }
        return Mono.just(new ServiceAnswer.Failed(Refusals.failure(failure, attempts.mayHaveRun)));
    }

    /** One call over all its attempts; used by one attempt at a time. */
    private static final class Attempts {
        private final ServiceRequest request;
        private final Set<String> excludedWorkers = new HashSet<>();
        private int failed;
        private boolean mayHaveRun;

        private Attempts(ServiceRequest request) {
            this.request = request;
        }

        private void failedAt(String worker, UpstreamFailure failure) {
            failed++;
            excludedWorkers.add(worker);
            mayHaveRun |= !failure.notRun();
        }

        private Ask ask(String id) {
            RequestClass requestClass = request.requestClass();
            return new Ask(
                    id,
                    ChatDispatcher.terms(requestClass),
                    request.customer(),
                    request.arrivalNanos(),
                    0,
                    0,
                    requestClass.idempotent(),
                    0,
                    Set.copyOf(excludedWorkers));
        }

        private ServiceCall call(Grant grant) {
            long target = request.requestClass().targetMillis();
            return new ServiceCall(
                    grant.worker().address(),
                    request.id(),
                    request.method(),
                    request.path(),
                    request.contentType(),
                    request.body(),
                    request.requestClass().idempotent(),
                    Duration.ofMillis(Math.max(SHORTEST_TIMEOUT_MILLIS, target * TIMEOUT_TARGETS)));
        }
    }
}
