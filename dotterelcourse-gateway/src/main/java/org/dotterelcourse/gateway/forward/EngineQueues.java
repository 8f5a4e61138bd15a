package org.dotterelcourse.gateway.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.policy.line.PendingRequest;
import org.dotterelcourse.policy.line.UpstreamQueue;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Queues delay-tolerant calls per upstream and dispatches them to engines as slots become free, in the order of the
 * {@link UpstreamQueue}. Answers bursts of long prompts, which engines would otherwise process all at once and too slowly
 * for the clients. Must be used on the gateway's event loop only.
 */
final class EngineQueues {
    /** Shorter than the interval at which peers report their load, and much shorter than the calls' latency targets. */
    private static final long POLL_INTERVAL_MILLIS = 20;

    /** Minimum Retry-After for a client: about the time in which an engine processes one or two prompts. */
    private static final long MIN_RETRY_AFTER_MILLIS = 250;

    /** Maximum Retry-After: bursts are over by then, and the client's response is still useful when it retries. */
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;

    /** Random fraction of Retry-After, so that clients that are rejected together do not retry together. */
    private static final double RETRY_AFTER_JITTER = 0.5;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final GatewayLoop loop;
    private final GatewayState state;
    private final WorkerSelection selection;
    private final SharedBackoff sharedBackoff;
    private final RandomGenerator random;
    private final Map<String, UpstreamQueue<QueuedCall>> queues = new HashMap<>();
    private boolean isPolling;

    /** A call in a queue with the sink for its result. Compared by identity when it is removed from the queue. */
    private static final class QueuedCall {
        private final Call call;
        private final MonoSink<AdmissionResult> sink;

        private QueuedCall(Call call, MonoSink<AdmissionResult> sink) {
            this.call = call;
            this.sink = sink;
        }
    }

    /** Result of waiting for a free slot at an engine. */
    sealed interface AdmissionResult {
        /**
         * The call was taken from the queue, or did not have to wait.
         *
         * @param outcome the selected worker, or that there is no worker at all
         */
        record Dispatched(WorkerSelection.Outcome outcome) implements AdmissionResult {}

        /**
         * The call cannot complete before its deadline, all engines have asked to back off, or the process is shutting
         * down.
         *
         * @param reason the reason, for the request log
         * @param retryAfterMillis the time in milliseconds after which the client should retry
         */
        record Rejected(String reason, long retryAfterMillis) implements AdmissionResult {}
    }

    EngineQueues(
            GatewayLoop loop,
            GatewayState state,
            WorkerSelection selection,
            SharedBackoff sharedBackoff,
            RandomGenerator random) {
        this.loop = loop;
        this.state = state;
        this.selection = selection;
        this.sharedBackoff = sharedBackoff;
        this.random = random;
    }

    /**
     * Returns whether a call must pass the queue. Retries and resumptions bypass it: no call is queued twice, and one that
     * only workers of one software version can serve does not hold up those behind it.
     */
    static boolean isQueueable(Call call) {
        return isDelayTolerant(call) && !call.wasPlaced() && !call.versions().isBound();
    }

    /** Returns whether a call's latency target is longer than the time in which an engine processes a long prompt. */
    static boolean isDelayTolerant(Call call) {
        return call.attributes().prompt().map(Prompt::latencyClass).orElse(LatencyClass.START_SENSITIVE)
                == LatencyClass.DELAY_TOLERANT;
    }

    /**
     * Places a call at an engine. If no engine has a free slot or other calls are queued, the call is queued, or
     * rejected if the expected wait is too long for it to complete in time or all engines have asked to back off.
     */
    Mono<AdmissionResult> admit(Call call) {
        return Mono.defer(() -> {
            long nowNanos = loop.nowNanos();
            Optional<AdmissionResult> rejection = backoffRejection(call, nowNanos);
            if (rejection.isPresent()) {
                return Mono.just(rejection.get());
            }
            UpstreamQueue<QueuedCall> queue = queue(call);
            if (queue.size() == 0) {
                WorkerSelection.Outcome outcome = selection.placeWithinCapacity(call, nowNanos);
                if (!(outcome instanceof WorkerSelection.Outcome.NoCapacity)) {
                    queue.recordDispatch(call.attributes().customer(), nowNanos);
                    return Mono.just(new AdmissionResult.Dispatched(outcome));
                }
            }
            if (queue.expectedWaitMillis(nowNanos)
                    > call.remainingMillis(nowNanos) - WorkerSelection.typicalCompletionMillis(call)) {
                return Mono.just(tooFull(queue, nowNanos));
            }
            return Mono.create(sink -> enqueue(queue, new QueuedCall(call, sink)));
        });
    }

    private UpstreamQueue<QueuedCall> queue(Call call) {
        return queues.computeIfAbsent(call.attributes().upstream().name(), upstream -> new UpstreamQueue<>());
    }

    private void enqueue(UpstreamQueue<QueuedCall> queue, QueuedCall queued) {
        Call.Attributes attributes = queued.call.attributes();
        double leadMillis = state.engineModel(attributes.upstream().name()).leadTimeMillis();
        long latestOnTimeStartNanos =
                attributes.arrivalNanos() + toNanos(attributes.route().targetMillis() - leadMillis);
        long latestUsefulStartNanos =
                attributes.deadlineNanos() - toNanos(WorkerSelection.typicalCompletionMillis(queued.call));
        queue.add(new PendingRequest<>(
                queued,
                attributes.priority(),
                attributes.customer(),
                attributes.arrivalNanos(),
                latestOnTimeStartNanos,
                latestUsefulStartNanos));
        queued.sink.onDispose(() -> queue.remove(queued));
        if (!isPolling) {
            isPolling = true;
            loop.runAfter(POLL_INTERVAL_MILLIS, this::poll);
        }
    }

    private static long toNanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }

    private void poll() {
        long nowNanos = loop.nowNanos();
        for (UpstreamQueue<QueuedCall> queue : queues.values()) {
            reject(queue, queue.removeExpired(nowNanos), nowNanos);
            rejectDuringBackoff(queue, nowNanos);
            dispatch(queue, nowNanos);
        }
        isPolling = queues.values().stream().anyMatch(queue -> queue.size() > 0);
        if (isPolling) {
            loop.runAfter(POLL_INTERVAL_MILLIS, this::poll);
        }
    }

    /** Rejects all calls of a queue if all engines have asked to back off. */
    private void rejectDuringBackoff(UpstreamQueue<QueuedCall> queue, long nowNanos) {
        Optional<QueuedCall> next = queue.peekNext(nowNanos).map(PendingRequest::item);
        if (next.isEmpty() || backoffRejection(next.get().call, nowNanos).isEmpty()) {
            return;
        }
        for (PendingRequest<QueuedCall> each : queue.removeAll()) {
            QueuedCall queued = each.item();
            backoffRejection(queued.call, nowNanos).ifPresent(queued.sink::success);
        }
    }

    private Optional<AdmissionResult> backoffRejection(Call call, long nowNanos) {
        OptionalLong millis = sharedBackoff.retryAfterMillis(call, nowNanos);
        return millis.isPresent()
                ? Optional.of(new AdmissionResult.Rejected(SharedBackoff.REASON, millis.getAsLong()))
                : Optional.empty();
    }

    private void dispatch(UpstreamQueue<QueuedCall> queue, long nowNanos) {
        int allowed = queue.peekNext(nowNanos)
                .map(first -> shareOfFreeSlots(first.item().call, nowNanos))
                .orElse(0);
        for (int i = 0; i < allowed && queue.size() > 0; i++) {
            QueuedCall queued = queue.peekNext(nowNanos).orElseThrow().item();
            WorkerSelection.Outcome outcome = selection.placeWithinCapacity(queued.call, nowNanos);
            if (outcome instanceof WorkerSelection.Outcome.NoCapacity) {
                return;
            }
            queue.remove(queued);
            queue.recordDispatch(queued.call.attributes().customer(), nowNanos);
            queued.sink.success(new AdmissionResult.Dispatched(outcome));
        }
    }

    /**
     * Returns how many of the free slots this process may use. All processes see the same free slots, so each of them
     * uses an equal share. A fraction of a slot is rounded up with a probability equal to the fraction.
     */
    private int shareOfFreeSlots(Call call, long nowNanos) {
        double share = selection.freeSlots(call, nowNanos) / (double) Math.max(1, state.reachableProcesses());
        int wholeSlots = (int) share;
        return wholeSlots + (random.nextDouble() < share - wholeSlots ? 1 : 0);
    }

    /** Rejects all queued calls at shutdown, so that their clients retry at other processes. */
    void rejectAll() {
        queues.values().forEach(queue -> reject(queue, queue.removeAll(), loop.nowNanos()));
    }

    private void reject(UpstreamQueue<QueuedCall> queue, List<PendingRequest<QueuedCall>> rejected, long nowNanos) {
        rejected.forEach(each -> each.item().sink.success(tooFull(queue, nowNanos)));
    }

    private AdmissionResult tooFull(UpstreamQueue<QueuedCall> queue, long nowNanos) {
        return new AdmissionResult.Rejected(
                "the engines are too full for an answer in time", retryAfterMillis(queue, nowNanos));
    }

    private long retryAfterMillis(UpstreamQueue<QueuedCall> queue, long nowNanos) {
        double waitMillis =
                Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, queue.expectedWaitMillis(nowNanos)));
        return (long) (waitMillis * (1 - RETRY_AFTER_JITTER / 2 + RETRY_AFTER_JITTER * random.nextDouble()));
    }
}
