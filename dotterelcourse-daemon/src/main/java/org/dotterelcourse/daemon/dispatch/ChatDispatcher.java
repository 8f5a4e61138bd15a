package org.dotterelcourse.daemon.dispatch;

import java.util.Set;

import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.daemon.upstream.Engine;
import org.dotterelcourse.daemon.upstream.EngineCall;
import org.dotterelcourse.daemon.upstream.EngineEvent;
import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.Ask;
import org.dotterelcourse.policy.cell.ClassTerms;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Takes a chat completion from the ask to the last event of its answer: asks for a worker, streams from it, and where
 * that breaks goes on elsewhere from the tokens that the caller already has.
 */
public final class ChatDispatcher {
    private final GrantSource grants;
    private final Engine engine;
    private final RetryPolicy retries;
    private final AskIds ids;

    /**
     * Makes a dispatcher.
     *
     * @param grants where the leave to use a worker comes from
     * @param engine sends to workers
     * @param retries decides what follows a failure
     * @param ids makes the id of each ask
     */
    public ChatDispatcher(GrantSource grants, Engine engine, RetryPolicy retries, AskIds ids) {
        this.grants = grants;
        this.engine = engine;
        this.retries = retries;
        this.ids = ids;
    }

    /**
     * Runs a call. Cancelling withdraws it, or cancels it at its worker.
     *
     * @param call the call
     * @return the answer's events, ended by a finished or failed one; never an error
     */
    public Flux<AnswerEvent> dispatch(ChatCall call) {
        return Flux.defer(() -> attempt(new ChatProgress(call)));
    }

    private Flux<AnswerEvent> attempt(ChatProgress progress) {
        return grants.ask(progress.call().requestClass().upstream(), ask(progress))
                .flatMapMany(result -> {
                    if (result instanceof GrantResult.Granted granted) {
                        return use(progress, granted.grant());
                    }
                    return Flux.just(new AnswerEvent.Failed(
                            Refusals.failure((GrantResult.Refused) result, progress.mayHaveRun())));
                });
    }

    private Flux<AnswerEvent> use(ChatProgress progress, Grant grant) {
        // A process that was paused between grant and use holds a grant that was given to somebody else meanwhile.
        if (!grants.mayUse(grant)) {
            grants.release(grant, GrantUse.unused());
            return attempt(progress);
        }
        GrantUse use = new GrantUse();
        Flux<EngineEvent> events = engine.stream(engineCall(progress, grant))
                .takeUntilOther(grant.preempted())
                .concatWith(Mono.fromSupplier(GrantUse::preempted))
                .takeUntil(GrantUse::isLast)
                .doOnNext(event -> seen(progress, grant, use, event))
                .doFinally(signal -> use.release(grants, grant));
        return events.concatMap(event -> next(progress, grant, event), 1);
    }

    private void seen(ChatProgress progress, Grant grant, GrantUse use, EngineEvent event) {
        use.add(event);
        if (event instanceof EngineEvent.Piece piece) {
            progress.add(piece.text());
            grants.progress(grant, progress.tokens());
        } else {
            // Before the next attempt asks: a request never holds a grant and waits for another at the same time.
            use.release(grants, grant);
        }
    }

    private Flux<AnswerEvent> next(ChatProgress progress, Grant grant, EngineEvent event) {
        if (event instanceof EngineEvent.Piece piece) {
            return Flux.just(new AnswerEvent.Piece(piece.text()));
        }
        if (event instanceof EngineEvent.Finished finished) {
            retries.succeeded(grant.cell());
            return Flux.just(
                    new AnswerEvent.Finished(finished.reason(), finished.promptTokens(), finished.completionTokens()));
        }
        return failed(progress, grant, ((EngineEvent.Failed) event).failure());
    }

    private Flux<AnswerEvent> failed(ChatProgress progress, Grant grant, UpstreamFailure failure) {
        if (GrantUse.isPreemption(failure)) {
            return attempt(progress);
        }
        progress.failedAt(grant.worker().name(), failure);
        RetryPolicy.Decision decision = retries.decide(
                grant.cell(), failure, progress.call().requestClass().idempotent(), progress.attempts());
        if (decision instanceof RetryPolicy.Again) {
            return attempt(progress);
        }
        return Flux.just(new AnswerEvent.Failed(Refusals.failure(failure, progress.mayHaveRun())));
    }

    private Ask ask(ChatProgress progress) {
        ChatCall call = progress.call();
        return new Ask(
                ids.next(),
                terms(call.requestClass()),
                call.customer(),
                call.arrivalNanos(),
                call.inputTokens(),
                call.prefix(),
                call.requestClass().idempotent(),
                progress.tokens(),
                Set.copyOf(progress.excludedWorkers()));
    }

    static ClassTerms terms(RequestClass requestClass) {
        return new ClassTerms(
                requestClass.name(),
                requestClass.tier(),
                requestClass.minimumShare(),
                requestClass.maxWaiting(),
                requestClass.lateIsUseless(),
                requestClass.targetMillis() * GrantUse.NANOS_PER_MILLI,
                requestClass.tokenIntervalMillis() * GrantUse.NANOS_PER_MILLI,
                requestClass.maxOutputTokens());
    }

    private static EngineCall engineCall(ChatProgress progress, Grant grant) {
        ChatCall call = progress.call();
        return new EngineCall(
                grant.worker().address(),
                call.id(),
                call.body(),
                call.requestClass().model(),
                call.maxTokens(),
                call.requestClass().tier() - ClassTerms.HIGHEST_TIER,
                progress.text(),
                progress.tokens());
    }
}
