package org.dotterelcourse.gateway.edge;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests that have no final response yet. Thread-safe. */
public final class InFlightCounter {
    private final AtomicInteger count = new AtomicInteger();

    void increment() {
        count.incrementAndGet();
    }

    void decrement() {
        count.decrementAndGet();
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the current count
     */
    public int count() {
        return count.get();
    }
}
