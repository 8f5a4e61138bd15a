package org.dotterelcourse.gateway.edge;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.Poller;
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
    private final Set<MonoSink<Void>> pending = new LinkedHashSet<>();
    private final Poller poller;
    private boolean hasPolledConnections;

    RequestPacer(GatewayLoop loop) {
        this.loop = loop;
        this.poller = new Poller(loop, POLL_DELAY_MILLIS, this::admitBatch);
    }

    /** Completes when a request may proceed, which is at once while the event loop has no backlog. */
    Mono<Void> admit() {
        return Mono.defer(() -> {
            boolean hasNoBacklog = pending.isEmpty() && loop.lagMillis() < BACKLOG_THRESHOLD_MILLIS;
            return hasNoBacklog ? Mono.empty() : Mono.create(this::enqueue);
        });
    }

    private void enqueue(MonoSink<Void> sink) {
        pending.add(sink);
        sink.onDispose(() -> pending.remove(sink));
        poller.start();
    }

    /** Admits requests from the second run on, before which all connections have been polled. */
    private boolean admitBatch() {
        if (!hasPolledConnections) {
            hasPolledConnections = true;
            return true;
        }
        long endNanos = loop.nowNanos() + BATCH_NANOS;
        while (!pending.isEmpty() && loop.nowNanos() - endNanos < 0) {
            Iterator<MonoSink<Void>> iterator = pending.iterator();
            MonoSink<Void> sink = iterator.next();
            iterator.remove();
            sink.success();
        }
        hasPolledConnections = !pending.isEmpty();
        return hasPolledConnections;
    }
}
