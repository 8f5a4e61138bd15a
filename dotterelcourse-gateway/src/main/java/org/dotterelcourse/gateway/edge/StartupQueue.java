package org.dotterelcourse.gateway.edge;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.Poller;
import org.dotterelcourse.gateway.workers.WorkerLinks;
import org.dotterelcourse.policy.start.StartupWait;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Holds requests that arrive before this process can serve, the one whose wait ends first in front, and releases them in
 * batches once it can. Must be used on the gateway's event loop only.
 */
final class StartupQueue {
    private static final Logger LOG = Logger.getLogger(StartupQueue.class);

    /** A timer set by another timer runs only after all connections have been polled for closing clients. */
    private static final long TICK_MILLIS = 10;

    /** Ticks in which the connections of the backlog are accepted; Netty accepts 16 between two timers. */
    private static final int BACKLOG_TICKS = 5;

    /** With bodies of up to 20 KB, these take at most 10 MB of a process's memory. */
    private static final int MAX_WAITING = 512;

    private final GatewayLoop loop;
    private final GatewayState state;
    private final int minProcesses;
    private final StartupWait wait;
    private final long listeningNanos;
    private final long expectedMillis;
    private final TreeSet<Entry> waiting =
            new TreeSet<>(Comparator.comparingLong(Entry::remainingNanos).thenComparingLong(Entry::number));
    private final Poller poller;
    private final Counter waited;
    private final Counter expired;
    private final Counter disconnected;
    private long nextNumber;
    private int ticks;
    private boolean started;
    private volatile long startMillis;

    /** A waiting request; times are relative to when the process began to listen. */
    private record Entry(long remainingNanos, long number, int tick, MonoSink<Void> sink) {}

    StartupQueue(
            GatewayLoop loop, GatewayState state, ClientListener listener, int minProcesses, MetricRegistry metrics) {
        this.loop = loop;
        this.state = state;
        this.minProcesses = minProcesses;
        listeningNanos = listener.listeningNanos();
        expectedMillis = listener.expectedMillis();
        wait = new StartupWait(listeningNanos, expectedMillis);
        poller = new Poller(loop, TICK_MILLIS, this::tick);
        waited = metrics.counter("gateway.start.waited");
        expired = metrics.counter("gateway.start.expired");
        disconnected = metrics.counter("gateway.start.disconnected");
        metrics.register("gateway.start.milliseconds", (Gauge<Long>) () -> startMillis);
    }

    /** Begins to release requests. Must be called when the server has taken over the listening socket. */
    void begin() {
        poller.start();
    }

    /** Completes when a request may proceed: at once after the start, otherwise when it is released or has expired. */
    Mono<Void> await(long arrivalNanos, long timeoutMillis) {
        return Mono.defer(() -> started || waiting.size() >= MAX_WAITING
                ? Mono.empty()
                : Mono.create(sink -> enqueue(sink, wait.deadlineNanos(arrivalNanos, timeoutMillis))));
    }

    long retryAfterMillis() {
        return wait.retryAfterMillis(loop.nowNanos());
    }

    /**
     * Returns the earliest time at which a request that is read now can have arrived. If it has waited in the socket's
     * backlog, this is when the process began to listen.
     */
    long earliestArrivalNanos(long readNanos) {
        return ticks < BACKLOG_TICKS ? Math.min(readNanos, listeningNanos) : readNanos;
    }

    private void enqueue(MonoSink<Void> sink, long deadlineNanos) {
        Entry entry = new Entry(deadlineNanos - listeningNanos, nextNumber++, ticks, sink);
        waiting.add(entry);
        waited.inc();
        sink.onDispose(() -> {
            if (waiting.remove(entry)) {
                disconnected.inc();
            }
        });
    }

    /** Returns whether requests may still have to wait. */
    private boolean tick() {
        ticks++;
        boolean ready = state.isReady();
        if (ready && startMillis == 0) {
            startMillis = Math.max(1, (loop.nowNanos() - listeningNanos) / 1_000_000L);
            LOG.infof(
                    "ready %d ms after the client port began to listen, %d ms were expected; %d requests wait, %d have expired",
                    startMillis, expectedMillis, waiting.size(), expired.getCount());
        }
        expire(ready);
        if (ready) {
            release(StartupWait.batchSize(
                    WorkerLinks.slots(state.workers()), Math.max(minProcesses, state.processes())));
        }
        started = ready && waiting.isEmpty() && ticks >= BACKLOG_TICKS;
        return !started;
    }

    /** Completes the waits that have ended. Without a routing table, the requests are then rejected. */
    private void expire(boolean ready) {
        long elapsedNanos = loop.nowNanos() - listeningNanos;
        for (Entry entry : polled(MAX_WAITING)) {
            if (entry.remainingNanos() <= elapsedNanos) {
                expired.inc(ready ? 0 : 1);
                complete(entry);
            }
        }
    }

    private void release(int count) {
        polled(count).forEach(this::complete);
    }

    /**
     * Returns waiting requests whose connections have been polled since they were read, so that none of a client is sent
     * that disconnected before.
     */
    private List<Entry> polled(int count) {
        return waiting.stream()
                .filter(entry -> entry.tick() + 2 <= ticks)
                .limit(count)
                .toList();
    }

    private void complete(Entry entry) {
        // Completing one request can end others, which are then no longer waiting.
        if (waiting.remove(entry)) {
            entry.sink().success();
        }
    }
}
