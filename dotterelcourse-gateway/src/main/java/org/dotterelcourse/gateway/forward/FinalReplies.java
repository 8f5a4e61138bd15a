package org.dotterelcourse.gateway.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.ShutdownSignal;
import org.dotterelcourse.policy.quarantine.Verdict;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** Determines the reply to a client when there are no further attempts. */
final class FinalReplies {
    /** About the duration of a few calls without a prompt, after which a slot has become free. */
    private static final long RETRY_AFTER_FULL_MILLIS = 250;

    /** About the time after which a crashed worker is back, or another one of its software version has room. */
    private static final long RETRY_AFTER_NO_VERSION_MILLIS = 1_000;

    /** Time after a request's deadline in which every part that it may wait for has decided on it. */
    private static final long UNDECIDED_GRACE_MILLIS = 2 * StreamForwarder.DEADLINE_GRACE_MILLIS;

    private static final Logger LOG = Logger.getLogger(FinalReplies.class);

    private static final long RETRY_AFTER_SHUTDOWN_MILLIS = 1;

    private final GatewayLoop loop;
    private final SharedBackoff sharedBackoff;
    private final ShutdownSignal shutdown;

    FinalReplies(GatewayLoop loop, SharedBackoff sharedBackoff, ShutdownSignal shutdown) {
        this.loop = loop;
        this.sharedBackoff = sharedBackoff;
        this.shutdown = shutdown;
    }

    /**
     * Answers a request that has no reply when the process is about to end, or shortly after its deadline, whichever part has
     * failed to decide on it.
     */
    Mono<Reply> decideInTime(Call call, Mono<Reply> reply) {
        return Mono.firstWithSignal(
                decideAtDeadline(call, reply), shutdown.asMono().then(Mono.fromSupplier(() -> atShutdown(call))));
    }

    /** Returns the reply of a process that can't wait any longer: an attempt in flight may have been executed. */
    private static Reply atShutdown(Call call) {
        String reason = "shutting down";
        boolean wasSent = call.isPossiblyExecuted()
                || call.sendCount() > 0
                || !call.relayPeer().isEmpty();
        return new Reply.Local(
                wasSent
                        ? LocalReply.possiblyExecuted(reason)
                        : LocalReply.notExecuted(reason, RETRY_AFTER_SHUTDOWN_MILLIS));
    }

    private Mono<Reply> decideAtDeadline(Call call, Mono<Reply> reply) {
        long remainingMillis = Math.max(0, call.remainingMillis(loop.nowNanos()));
        return reply.timeout(Duration.ofMillis(remainingMillis + UNDECIDED_GRACE_MILLIS), loop.scheduler())
                .onErrorResume(TimeoutException.class, error -> {
                    LOG.errorf(
                            "nothing has decided on request %s until %d ms after its deadline, it is answered now",
                            call.attributes().id(), UNDECIDED_GRACE_MILLIS);
                    return Mono.just(reply(call, Optional.empty(), "timeout", loop.nowNanos()));
                });
    }

    /**
     * Returns a worker's earlier error response if there is one, otherwise one of the router. It states that the request
     * was not executed only if no attempt may have executed it.
     */
    Reply reply(Call call, Optional<BufferedResponse> earlierResponse, String reason, long nowNanos) {
        if (earlierResponse.isPresent()) {
            return earlierResponse.get().toReply();
        }
        if (call.isPossiblyExecuted()) {
            return new Reply.Local(LocalReply.possiblyExecuted(reason));
        }
        OptionalLong backoff = sharedBackoff.retryAfterMillis(call, nowNanos);
        return new Reply.Local(
                backoff.isPresent()
                        ? LocalReply.notExecuted(SharedBackoff.REASON + ", " + reason, backoff.getAsLong())
                        : LocalReply.notExecuted(
                                explain(call, reason),
                                Math.max(
                                        call.versions().isBound()
                                                ? RETRY_AFTER_NO_VERSION_MILLIS
                                                : RETRY_AFTER_FULL_MILLIS,
                                        call.retryAfterMillis())));
    }

    private static String explain(Call call, String reason) {
        return call.versions().isBound()
                ? reason + ", the stream needs a worker of software version "
                        + call.versions().version()
                : reason;
    }

    /** Rejects a quarantined request, unless a worker has responded to it before or may have executed it. */
    Reply quarantined(
            Call call, Optional<BufferedResponse> earlierResponse, Verdict.Quarantined quarantined, long nowNanos) {
        String reason = "workers crash under this request or a part of its prompt";
        boolean isNotExecuted = earlierResponse.isEmpty() && !call.isPossiblyExecuted();
        return isNotExecuted
                ? new Reply.Local(LocalReply.notExecuted(reason, quarantined.retryAfterMillis()))
                : reply(call, earlierResponse, reason, nowNanos);
    }
}
