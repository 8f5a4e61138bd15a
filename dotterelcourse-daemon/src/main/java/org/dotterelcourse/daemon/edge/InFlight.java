package org.dotterelcourse.daemon.edge;

import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Counts the requests in flight, so that a shutdown can wait for the last of them. */
final class InFlight {
    private final AtomicInteger count = new AtomicInteger();
    private final Sinks.Empty<Void> empty = Sinks.empty();
    private volatile boolean awaited;

    void enter() {
        count.incrementAndGet();
    }

    void leave() {
        if (count.decrementAndGet() == 0 && awaited) {
            empty.tryEmitEmpty();
        }
    }

    int count() {
        return count.get();
    }

    /** Completes when nothing is in flight; call it when no more requests can come. */
    Mono<Void> untilNone() {
        awaited = true;
        if (count.get() == 0) {
            empty.tryEmitEmpty();
        }
        return empty.asMono();
    }
}
