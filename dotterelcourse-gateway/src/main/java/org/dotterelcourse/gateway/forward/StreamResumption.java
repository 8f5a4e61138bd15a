package org.dotterelcourse.gateway.forward;

import java.util.function.Function;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.workers.Placement;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Resumes a broken stream after its last complete event at another worker of the same software version, within the same
 * response. The first worker has stopped, because its connection is closed.
 */
final class StreamResumption {
    private final GatewayLoop loop;
    private final AttemptFailureHandler failureHandler;
    private final RetryPolicy retries;
    private final Function<Call, Mono<Reply>> nextAttempt;

    /**
     * Creates the resumption.
     *
     * @param nextAttempt sends a call to a further worker
     */
    StreamResumption(
            GatewayLoop loop,
            AttemptFailureHandler failureHandler,
            RetryPolicy retries,
            Function<Call, Mono<Reply>> nextAttempt) {
        this.loop = loop;
        this.failureHandler = failureHandler;
        this.retries = retries;
        this.nextAttempt = nextAttempt;
    }

    /** Returns the further events of a stream that has broken, or the error if it is not resumed. */
    Flux<byte[]> resume(Call call, Placement placement, WorkerConnectionException error) {
        placement.recordFailure(loop.nowNanos());
        // A peer probes the worker itself.
        Mono<Void> handled = placement.isAtPeer()
                ? Mono.empty()
                : failureHandler.handleFailure(call, placement.entry(), error.getMessage());
        if (!call.attributes().route().isRetryable() || call.versions().isUnknown()) {
            return Flux.error(error);
        }
        return handled.thenMany(Flux.defer(() -> resumeElsewhere(call, error)));
    }

    private Flux<byte[]> resumeElsewhere(Call call, WorkerConnectionException error) {
        if (!retries.tryAcquire(call, loop.nowNanos())) {
            return Flux.error(error);
        }
        return nextAttempt
                .apply(call)
                .flatMapMany(reply -> reply instanceof Reply.Streamed streamed ? streamed.events() : Flux.error(error));
    }
}
