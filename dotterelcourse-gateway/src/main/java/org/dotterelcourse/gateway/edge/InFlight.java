package org.dotterelcourse.gateway.edge;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests that have no final answer yet. */
public final class InFlight {
    private final AtomicInteger count = new AtomicInteger();

    void enter() {
        count.incrementAndGet();
    }

    void leave() {
        count.decrementAndGet();
    }

    /**
     * How many there are.
     *
     * @return the number
     */
    public int count() {
        return count.get();
    }
}
