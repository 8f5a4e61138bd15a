package org.dotterelcourse.gateway.forward;

import org.dotterelcourse.gateway.workers.SlotGrant;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import reactor.core.publisher.Mono;

/** Grants slots of brittle workers to requests of this process, in agreement with its peers. */
public interface SlotSource {
    /** Result of asking for a slot. */
    sealed interface Result {
        /**
         * The request may be sent to the worker.
         *
         * @param slot the slot, to be released when the request has ended
         */
        record Granted(SlotGrant slot) implements Result {}

        /**
         * The worker has no room for the request in time.
         *
         * @param retryAfterMillis time in milliseconds after which another try is useful
         */
        record Rejected(long retryAfterMillis) implements Result {}
    }

    /**
     * A request for which a slot is needed.
     *
     * @param maxWaitMillis time in milliseconds after which it is not sent to the worker any more
     * @param priority its priority, 0 is the highest
     * @param arrivalNanos monotonic time of its arrival in nanoseconds
     */
    record Request(int maxWaitMillis, int priority, long arrivalNanos) {}

    /**
     * Asks for a slot. Cancelling the subscription withdraws the request. Must be called on the gateway's event loop.
     *
     * @param worker the worker
     * @param request the request
     * @return the result, exactly one
     */
    Mono<Result> ask(WorkerEntry worker, Request request);
}
