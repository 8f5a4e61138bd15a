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
 * Dispatches a chat completion: requests a grant, streams the answer from the granted worker and, if that fails, retries at
 * another worker. A retry resumes after the tokens that the caller already has, where possible.
 */
public final class ChatDispatcher {
    private static final Logger LOG = Logger.getLogger(ChatDispatcher.class);

    private final GrantSource grants;
    private final Engine engine;
    private final Retries retries;

    /**
     * Creates a dispatcher.
     *
     * @param grants source of the grants for workers
     * @param engine sends calls to engine workers
     * @param retries decides whether and how failed attempts are retried
     */
    public ChatDispatcher(GrantSource grants, Engine engine, Retries retries) {
        this.grants = grants;
        this.engine = engine;
        this.retries = retries;
    }

    /**
     * Runs a call. Cancelling withdraws the call, or cancels it at its worker.
     *
     * @param call the call
     * @param workers notified of each worker that the call is sent to
     * @return the events of the answer, the last of which is finished or failed; never an error
     */
    public Flux<AnswerEvent> dispatch(ChatCall call, WorkerListener workers) {
        return Flux.defer(() -> attempt(new ChatProgress(call, workers)));
    }

    private Flux<AnswerEvent> attempt(ChatProgress progress) {
        String upstream = progress.call().requestClass().upstream();
        return grants.ask(upstream, progress.request()).flatMapMany(result -> {
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
                .concatWith(Mono.fromSupplier(GrantUse::preemptionEvent))
                .takeUntil(GrantUse::isLast)
                .doOnNext(event -> recordEvent(progress, grant, use, event))
                .concatMap(event -> toAnswerEvents(progress, grant, event), 1);
    }

    private void recordEvent(ChatProgress progress, Grant grant, GrantUse use, EngineEvent event) {
        use.record(event);
        if (event instanceof EngineEvent.Piece piece) {
            progress.append(piece.text());
            grants.progress(grant, progress.tokens());
        } else {
            // Release before the next attempt: a request never holds a grant while it waits for another.
            use.release(grants, grant);
        }
    }

    private Flux<AnswerEvent> toAnswerEvents(ChatProgress progress, Grant grant, EngineEvent event) {
        if (event instanceof EngineEvent.Piece piece) {
            return Flux.just(new AnswerEvent.Piece(piece.text()));
        }
        if (event instanceof EngineEvent.Finished finished) {
            retries.succeeded(progress.call().requestClass().upstream());
            return Flux.just(
                    new AnswerEvent.Finished(finished.reason(), finished.promptTokens(), finished.completionTokens()));
        }
        return handleFailure(progress, grant, ((EngineEvent.Failed) event).failure());
    }

    private Flux<AnswerEvent> handleFailure(ChatProgress progress, Grant grant, UpstreamFailure failure) {
        progress.recordFailure(failure);
        Attempt attempt = Retries.attempt(grant.worker().name(), failure, progress.tokens());
        RetryDecision decision =
                retries.decide(progress.call().requestClass().upstream(), progress.request(), attempt, true);
        if (decision instanceof RetryDecision.Restart restart) {
            progress.setRequest(restart.request());
            return attempt(progress);
        }
        if (decision instanceof RetryDecision.Resume resume) {
            progress.setRequest(resume.request());
            return attempt(progress);
        }
        RetryDecision.GiveUp giveUp = (RetryDecision.GiveUp) decision;
        LOG.infof(
                "request %s failed at worker %s after %d tokens in total and is not retried: %s; %s",
                progress.call().id(), grant.worker().name(), progress.tokens(), giveUp.reason(), failure);
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
