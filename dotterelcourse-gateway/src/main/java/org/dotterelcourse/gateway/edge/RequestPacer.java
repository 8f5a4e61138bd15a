package org.dotterelcourse.gateway.edge;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.policy.start.BacklogWait;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * While the event loop has a backlog, admits requests in short batches and polls all connections between the batches.
 * Must be used on the gateway's event loop only.
 *
 * <p>Answers the restart of all processes after an outage. The first requests that a process forwards take some hundred
 * milliseconds each, and many of them are read at the same time. Meanwhile clients time out, but the event loop sees
 * that they closed their connections only when it polls these. Without polling in between, workers would receive
 * requests whose clients have given up.
 */
final class RequestPacer {
    /** Far above the usual lateness of the event loop's timers, and below the clients' timeouts. */
    private static final long BACKLOG_THRESHOLD_MILLIS = 100;

    /** Maximum time for admitting requests between two polls, unless a single one takes longer. Far below client timeouts. */
    private static final long BATCH_NANOS = 20_000_000L;

    /** The shortest delay. A timer set by another timer runs only after all connections have been polled. */
    private static final long POLL_DELAY_MILLIS = 1;

    private final GatewayLoop loop;
    private final Set<Waiting> pending = new LinkedHashSet<>();
    private final Poller poller;
    private boolean hasPolledConnections;

    /** A waiting request, and until when it is worth forwarding. */
    private static final class Waiting {
        private final MonoSink<Void> sink;
        private final long arrivalNanos;
        private final long deadlineNanos;

        private Waiting(MonoSink<Void> sink, long arrivalNanos, long timeoutMillis) {
            this.sink = sink;
            this.arrivalNanos = arrivalNanos;
            this.deadlineNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        }

        private boolean hasTimeLeft(long nowNanos) {
            return BacklogWait.hasTimeLeft(arrivalNanos, deadlineNanos, nowNanos);
        }
    }

    RequestPacer(GatewayLoop loop) {
        this.loop = loop;
        this.poller = new Poller(loop, POLL_DELAY_MILLIS, this::admitBatch);
    }

    /**
     * Completes when a request may proceed: at once while the event loop has no backlog, otherwise in its turn, or when it has
     * waited too long to be forwarded.
     */
    Mono<Void> admit(long arrivalNanos, long timeoutMillis) {
        return Mono.defer(() -> isBehind()
                ? Mono.create(sink -> enqueue(new Waiting(sink, arrivalNanos, timeoutMillis)))
                : Mono.empty());
    }

    /** Returns whether the event loop has a backlog. */
    boolean isBehind() {
        return !pending.isEmpty() || loop.lagMillis() >= BACKLOG_THRESHOLD_MILLIS;
    }

    private void enqueue(Waiting request) {
        pending.add(request);
        request.sink.onDispose(() -> pending.remove(request));
        poller.start();
    }

    /** Lets the requests proceed that have no time left; they are rejected. */
    private void releaseLate(long nowNanos) {
        List<Waiting> late =
                pending.stream().filter(each -> !each.hasTimeLeft(nowNanos)).toList();
        late.forEach(this::release);
    }

    private void release(Waiting request) {
        // Releasing one request can end others, which are then no longer waiting.
        if (pending.remove(request)) {
            request.sink.success();
        }
    }

    /** Admits requests from the second run on, before which all connections have been polled. */
    private boolean admitBatch() {
        if (!hasPolledConnections) {
            hasPolledConnections = true;
            return true;
        }
        long beginNanos = loop.nowNanos();
        releaseLate(beginNanos);
        while (!pending.isEmpty() && loop.nowNanos() - beginNanos < BATCH_NANOS) {
            release(pending.iterator().next());
        }
        hasPolledConnections = !pending.isEmpty();
        return hasPolledConnections;
    }
}
