package org.dotterelcourse.daemon.edge;

import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Counts the requests in flight, so that a shutdown can wait until all have ended. */
final class InFlightRequests {
    private final AtomicInteger count = new AtomicInteger();
    private final Sinks.Empty<Void> noneSignal = Sinks.empty();
    private volatile boolean awaited;

    void started() {
        count.incrementAndGet();
    }

    void ended() {
        if (count.decrementAndGet() == 0 && awaited) {
            noneSignal.tryEmitEmpty();
        }
    }

    int count() {
        return count.get();
    }

    /**
     * Waits for the requests in flight. Call this only after the server has stopped accepting connections.
     *
     * @return completes when no request is in flight
     */
    Mono<Void> whenNone() {
        awaited = true;
        if (count.get() == 0) {
            noneSignal.tryEmitEmpty();
        }
        return noneSignal.asMono();
    }
}
