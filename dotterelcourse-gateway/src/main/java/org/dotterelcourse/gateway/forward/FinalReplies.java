package org.dotterelcourse.gateway.forward;

import java.util.Optional;
import java.util.OptionalLong;

import org.dotterelcourse.policy.quarantine.Verdict;

/** Determines the reply to a client when there are no further attempts. */
final class FinalReplies {
    /** About the duration of a few calls without a prompt, after which a slot has become free. */
    private static final long RETRY_AFTER_FULL_MILLIS = 250;

    /** About the time after which a crashed worker is back, or another one of its software version has room. */
    private static final long RETRY_AFTER_NO_VERSION_MILLIS = 1_000;

    private final SharedBackoff sharedBackoff;

    FinalReplies(SharedBackoff sharedBackoff) {
        this.sharedBackoff = sharedBackoff;
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
