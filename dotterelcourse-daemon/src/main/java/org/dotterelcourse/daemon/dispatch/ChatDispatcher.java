package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.daemon.upstream.Engine;
import org.dotterelcourse.daemon.upstream.EngineCall;
import org.dotterelcourse.daemon.upstream.EngineEvent;
import org.dotterelcourse.daemon.upstream.UpstreamFailure;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.retry.Attempt;
import org.dotterelcourse.policy.retry.RetryDecision;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Takes a chat completion from the ask to the last event of its answer: asks for a worker, streams from it, and where
 * that breaks goes on elsewhere from the tokens that the caller already has.
 */
public final class ChatDispatcher {
    private static final Logger LOG = Logger.getLogger(ChatDispatcher.class);

    private final GrantSource grants;
    private final Engine engine;
    private final Retries retries;

    /**
     * Makes a dispatcher.
     *
     * @param grants where the leave to use a worker comes from
     * @param engine sends to workers
     * @param retries decides what follows a failure
     */
    public ChatDispatcher(GrantSource grants, Engine engine, Retries retries) {
        this.grants = grants;
        this.engine = engine;
        this.retries = retries;
    }

    /**
     * Runs a call. Cancelling withdraws it, or cancels it at its worker.
     *
     * @param call the call
     * @param workers hears of each worker that it is sent to
     * @return the answer's events, ended by a finished or failed one; never an error
     */
    public Flux<AnswerEvent> dispatch(ChatCall call, WorkerListener workers) {
        return Flux.defer(() -> attempt(new ChatProgress(call, workers)));
    }

    private Flux<AnswerEvent> attempt(ChatProgress progress) {
        String upstream = progress.call().requestClass().upstream();
        return grants.ask(upstream, progress.ask()).flatMapMany(result -> {
            if (result instanceof GrantResult.Granted granted) {
                return use(progress, granted.grant());
            }
            GrantResult.Refused refused = (GrantResult.Refused) result;
            return Flux.just(new AnswerEvent.Failed(Refusals.failure(refused, progress.mayHaveRun())));
        });
    }

    private Flux<AnswerEvent> use(ChatProgress progress, Grant grant) {
        return Flux.using(
                GrantUse::new,
                use -> grants.mayUse(grant)
                        .flatMapMany(usable -> usable ? send(progress, grant, use) : attempt(progress)),
                use -> use.release(grants, grant));
    }

    private Flux<AnswerEvent> send(ChatProgress progress, Grant grant, GrantUse use) {
        progress.workers().sentTo(grant.worker().name());
        return engine.stream(engineCall(progress, grant))
                .takeUntilOther(grant.preempted())
                .concatWith(Mono.fromSupplier(GrantUse::preempted))
                .takeUntil(GrantUse::isLast)
                .doOnNext(event -> seen(progress, grant, use, event))
                .concatMap(event -> next(progress, grant, event), 1);
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
            retries.succeeded(progress.call().requestClass().upstream());
            return Flux.just(
                    new AnswerEvent.Finished(finished.reason(), finished.promptTokens(), finished.completionTokens()));
        }
        return failed(progress, grant, ((EngineEvent.Failed) event).failure());
    }

    private Flux<AnswerEvent> failed(ChatProgress progress, Grant grant, UpstreamFailure failure) {
        progress.failed(failure);
        Attempt attempt = Retries.attempt(grant.worker().name(), failure, progress.tokens());
        RetryDecision decision =
                retries.decide(progress.call().requestClass().upstream(), progress.ask(), attempt, true);
        if (decision instanceof RetryDecision.Restart elsewhere) {
            progress.next(elsewhere.request());
            return attempt(progress);
        }
        if (decision instanceof RetryDecision.Resume resume) {
            progress.next(resume.request());
            return attempt(progress);
        }
        RetryDecision.GiveUp given = (RetryDecision.GiveUp) decision;
        LOG.infof(
                "request %s is given up after worker %s, %d tokens: %s; %s",
                progress.call().id(), grant.worker().name(), progress.tokens(), given.reason(), failure);
        return Flux.just(new AnswerEvent.Failed(Refusals.failure(failure, progress.mayHaveRun())));
    }

    private static EngineCall engineCall(ChatProgress progress, Grant grant) {
        ChatCall call = progress.call();
        return new EngineCall(
                grant.worker().address(),
                call.id(),
                call.body(),
                call.requestClass().model(),
                call.requestClass().version(),
                call.maxTokens(),
                call.requestClass().tier() - ClassTerms.HIGHEST_TIER,
                progress.text(),
                progress.tokens());
    }
}
