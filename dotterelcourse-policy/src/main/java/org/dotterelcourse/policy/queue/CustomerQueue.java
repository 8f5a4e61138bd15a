package org.dotterelcourse.policy.queue;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The waiting requests of one customer in one class, earliest deadline first. Within a class the target is the same for
 * all, so that the earliest deadline is also the oldest arrival: a retry, which keeps its arrival, goes back to its
 * place, and the last one is the newest.
 */
final class CustomerQueue {
    private static final Comparator<Waiting> EARLIEST_DEADLINE = Comparator.comparingLong(
                    (Waiting waiting) -> waiting.ask().dueNanos())
            .thenComparingLong(Waiting::sequence);

    private final String customer;
    private final TreeSet<Waiting> entries = new TreeSet<>(EARLIEST_DEADLINE);
    private double work;
    private double deficit;

    CustomerQueue(String customer) {
        this.customer = customer;
    }

    String customer() {
        return customer;
    }

    int size() {
        return entries.size();
    }

    double work() {
        return work;
    }

    double deficit() {
        return deficit;
    }

    void addDeficit(double amount) {
        deficit += amount;
    }

    void add(Waiting waiting) {
        entries.add(waiting);
        work += waiting.work();
    }

    void remove(Waiting waiting) {
        if (entries.remove(waiting)) {
            work -= waiting.work();
        }
    }

    Waiting first() {
        return entries.first();
    }

    Waiting newest() {
        return entries.last();
    }
}
