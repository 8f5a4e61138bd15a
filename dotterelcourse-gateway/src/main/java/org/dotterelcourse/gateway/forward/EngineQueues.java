package org.dotterelcourse.gateway.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.LoopTimers;
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.policy.line.PendingRequest;
import org.dotterelcourse.policy.line.UpstreamQueue;
import org.dotterelcourse.policy.selection.LatencyClass;
import org.dotterelcourse.policy.selection.Prompt;
import org.jboss.logging.Logger;
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

    private static final Logger LOG = Logger.getLogger(EngineQueues.class);

    private final LoopTimers timers;
    private final GatewayState state;
    private final WorkerSelection selection;
    private final SharedBackoff sharedBackoff;
    private final RandomGenerator random;
    private final Map<String, UpstreamQueue<QueuedCall, AdmissionResult>> queues = new HashMap<>();
    private final Poller poller;

    /** A call in a queue. Compared by identity. */
    private static final class QueuedCall {
        private final Call call;
        private final Constraint constraint;

        private QueuedCall(Call call) {
            this.call = call;
            this.constraint = Constraint.of(call);
        }
    }

    /** What keeps a call from some engines of its upstream. */
    private record Constraint(Set<String> excludedVersions, boolean isSuspect) {
        static Constraint of(Call call) {
            return new Constraint(call.versions().excluded(), call.isSuspect());
        }

        /** Returns whether calls with this constraint may use all engines that those with another one may use. */
        boolean includes(Constraint other) {
            return other.excludedVersions.containsAll(excludedVersions) && (other.isSuspect || !isSuspect);
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
            LoopTimers timers,
            GatewayState state,
            WorkerSelection selection,
            SharedBackoff sharedBackoff,
            RandomGenerator random) {
        this.timers = timers;
        this.state = state;
        this.selection = selection;
        this.sharedBackoff = sharedBackoff;
        this.random = random;
        this.poller = new Poller(timers, POLL_INTERVAL_MILLIS, this::poll);
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
            long nowNanos = timers.nowNanos();
            Optional<AdmissionResult> rejection = backoffRejection(call, nowNanos);
            if (rejection.isPresent()) {
                return Mono.just(rejection.get());
            }
            UpstreamQueue<QueuedCall, AdmissionResult> queue = queue(call);
            if (queue.size() == 0) {
                Optional<AdmissionResult> result = place(call, nowNanos);
                if (result.isPresent()) {
                    queue.recordDispatch(call.attributes().customer(), nowNanos);
                    return Mono.just(result.get());
                }
            }
            if (queue.expectedWaitMillis(nowNanos)
                    > call.remainingMillis(nowNanos) - WorkerSelection.typicalCompletionMillis(call)) {
                return Mono.just(tooFull(queue, nowNanos));
            }
            return Mono.create(sink -> enqueue(queue, new QueuedCall(call), sink));
        });
    }

    private UpstreamQueue<QueuedCall, AdmissionResult> queue(Call call) {
        return queues.computeIfAbsent(call.attributes().upstream().name(), upstream -> new UpstreamQueue<>());
    }

    private void enqueue(
            UpstreamQueue<QueuedCall, AdmissionResult> queue, QueuedCall queued, MonoSink<AdmissionResult> sink) {
        Call.Attributes attributes = queued.call.attributes();
        double leadMillis = state.engineModel(attributes.upstream().name()).leadTimeMillis();
        long latestOnTimeStartNanos =
                attributes.arrivalNanos() + toNanos(attributes.route().targetMillis() - leadMillis);
        long latestUsefulStartNanos =
                attributes.deadlineNanos() - toNanos(WorkerSelection.typicalCompletionMillis(queued.call));
        PendingRequest<QueuedCall> request = new PendingRequest<>(
                queued,
                attributes.priority(),
                attributes.customer(),
                attributes.arrivalNanos(),
                latestOnTimeStartNanos,
                latestUsefulStartNanos);
        queue.add(request, sink::success);
        sink.onDispose(() -> queue.withdraw(queued));
        poller.start();
    }

    private static long toNanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }

    private boolean poll() {
        long nowNanos = timers.nowNanos();
        forEachQueue(queue -> {
            rejectWithoutProspect(queue, nowNanos);
            dispatch(queue, nowNanos);
        });
        return queues.values().stream().anyMatch(queue -> queue.size() > 0);
    }

    /** Applies an action to all queues, of which new ones may be added meanwhile. */
    private void forEachQueue(Consumer<UpstreamQueue<QueuedCall, AdmissionResult>> action) {
        Map.copyOf(queues).forEach((upstream, queue) -> {
            try {
                action.accept(queue);
            } catch (RuntimeException e) {
                LOG.errorf(
                        e, "failed to decide on a queued request to %s, %d others still wait", upstream, queue.size());
            }
        });
    }

    /** Rejects the calls that cannot complete in time, or whose engines have all asked to back off. */
    private void rejectWithoutProspect(UpstreamQueue<QueuedCall, AdmissionResult> queue, long nowNanos) {
        Map<Constraint, Boolean> backoffs = new HashMap<>();
        queue.decideEach(request -> {
            QueuedCall queued = request.item();
            if (request.isExpired(nowNanos)) {
                return Optional.of(tooFull(queue, nowNanos));
            }
            if (!isUpstreamConfigured(queued.call)) {
                return Optional.of(new AdmissionResult.Dispatched(new WorkerSelection.Outcome.NoWorker()));
            }
            boolean isBackingOff = backoffs.computeIfAbsent(
                    queued.constraint,
                    constraint -> backoffRejection(queued.call, nowNanos).isPresent());
            return isBackingOff ? backoffRejection(queued.call, nowNanos) : Optional.empty();
        });
    }

    private boolean isUpstreamConfigured(Call call) {
        return state.table()
                .map(table -> table.hasUpstream(call.attributes().upstream().name()))
                .orElse(true);
    }

    private Optional<AdmissionResult> backoffRejection(Call call, long nowNanos) {
        OptionalLong millis = sharedBackoff.retryAfterMillis(call, nowNanos);
        return millis.isPresent()
                ? Optional.of(new AdmissionResult.Rejected(SharedBackoff.REASON, millis.getAsLong()))
                : Optional.empty();
    }

    /**
     * Dispatches calls in the order of the queue. One that no engine can take now holds up only those behind it that could
     * use none but its engines.
     */
    private void dispatch(UpstreamQueue<QueuedCall, AdmissionResult> queue, long nowNanos) {
        ShareOfFreeSlots share = new ShareOfFreeSlots(random.nextDouble(), nowNanos);
        Optional<QueuedCall> next = queue.peekNext(nowNanos, share::allows).map(PendingRequest::item);
        while (next.isPresent()) {
            QueuedCall queued = next.get();
            Optional<AdmissionResult> result = place(queued.call, nowNanos);
            if (result.isEmpty()) {
                share.full.add(queued.constraint);
            } else {
                share.dispatched++;
                queue.recordDispatch(queued.call.attributes().customer(), nowNanos);
                queue.decide(queued, result.get());
            }
            next = queue.peekNext(nowNanos, share::allows).map(PendingRequest::item);
        }
    }

    /** Returns empty if all engines that may get the call are full. */
    private Optional<AdmissionResult> place(Call call, long nowNanos) {
        try {
            WorkerSelection.Outcome outcome = selection.placeWithinCapacity(call, nowNanos);
            return outcome instanceof WorkerSelection.Outcome.NoCapacity
                    ? Optional.empty()
                    : Optional.of(new AdmissionResult.Dispatched(outcome));
        } catch (RuntimeException e) {
            LOG.errorf(
                    e,
                    "failed to select an engine for request %s, it is rejected",
                    call.attributes().id());
            return Optional.of(new AdmissionResult.Rejected("failed to select an engine", MIN_RETRY_AFTER_MILLIS));
        }
    }

    /**
     * How many of the free slots this process may use in one poll. All processes see the same free slots, so each of them
     * uses an equal share. A fraction of a slot is rounded up with a probability equal to the fraction.
     */
    private final class ShareOfFreeSlots {
        private final double fractionRoundedUp;
        private final long nowNanos;
        private final Map<Constraint, Integer> allowed = new HashMap<>();
        private final Set<Constraint> full = new HashSet<>();
        private int dispatched;

        private ShareOfFreeSlots(double fractionRoundedUp, long nowNanos) {
            this.fractionRoundedUp = fractionRoundedUp;
            this.nowNanos = nowNanos;
        }

        private boolean allows(PendingRequest<QueuedCall> request) {
            QueuedCall queued = request.item();
            return full.stream().noneMatch(each -> each.includes(queued.constraint))
                    && dispatched < allowed.computeIfAbsent(queued.constraint, constraint -> slots(queued.call));
        }

        private int slots(Call call) {
            double share = selection.freeSlots(call, nowNanos) / (double) Math.max(1, state.reachableProcesses());
            int wholeSlots = (int) share;
            return wholeSlots + (fractionRoundedUp < share - wholeSlots ? 1 : 0);
        }
    }

    /** Rejects all queued calls at shutdown, so that their clients retry at other processes. */
    void rejectAll() {
        long nowNanos = timers.nowNanos();
        forEachQueue(queue -> queue.decideEach(request -> Optional.of(tooFull(queue, nowNanos))));
    }

    private AdmissionResult tooFull(UpstreamQueue<QueuedCall, AdmissionResult> queue, long nowNanos) {
        return new AdmissionResult.Rejected(
                "the engines are too full for an answer in time", retryAfterMillis(queue, nowNanos));
    }

    private long retryAfterMillis(UpstreamQueue<QueuedCall, AdmissionResult> queue, long nowNanos) {
        double waitMillis =
                Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, queue.expectedWaitMillis(nowNanos)));
        return (long) (waitMillis * (1 - RETRY_AFTER_JITTER / 2 + RETRY_AFTER_JITTER * random.nextDouble()));
    }
}
