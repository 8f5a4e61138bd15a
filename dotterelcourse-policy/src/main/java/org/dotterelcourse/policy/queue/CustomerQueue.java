package org.dotterelcourse.policy.queue;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The queued requests of one customer in one class, ordered by earliest deadline first among those that can still meet
 * their target.
 *
 * <p>Answers sustained overload. Under overload, plain earliest deadline first serves only requests that have just
 * become late, so that no request meets its target. Therefore late requests are served after the others, except that
 * every {@value #LATE_INTERVAL}th request served is the oldest late one, so that late requests complete too. A retry
 * keeps its arrival time and so its position.
 *
 * <p>The newest request is shed first. If late requests are more than half of the customer's queue, the newest late one
 * is shed; otherwise requests that have missed their target would displace all those that could meet theirs.
 */
final class CustomerQueue {
    private static final int LATE_INTERVAL = 4;

    private static final Comparator<QueuedRequest> EARLIEST_DEADLINE = Comparator.comparingLong(
                    (QueuedRequest queued) -> queued.request().dueNanos())
            .thenComparingLong(QueuedRequest::sequence);

    private final String customer;
    private final boolean servesLateLast;
    private final TreeSet<QueuedRequest> onTime = new TreeSet<>(EARLIEST_DEADLINE);
    private final TreeSet<QueuedRequest> late = new TreeSet<>(EARLIEST_DEADLINE);
    private double work;
    private double deficit;
    /** Number of requests served, modulo {@link #LATE_INTERVAL}. */
    private int served;

    CustomerQueue(String customer, boolean servesLateLast) {
        this.customer = customer;
        this.servesLateLast = servesLateLast;
    }

    String customer() {
        return customer;
    }

    int size() {
        return onTime.size() + late.size();
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

    void correctCharge(double difference, double maxDebt) {
        deficit = Math.max(-maxDebt, Math.min(maxDebt, deficit - difference));
    }

    void add(QueuedRequest queued) {
        onTime.add(queued);
        work += queued.work();
    }

    void remove(QueuedRequest queued) {
        if (onTime.remove(queued) || late.remove(queued)) {
            work -= queued.work();
        }
    }

    void countServed() {
        served = (served + 1) % LATE_INTERVAL;
    }

    QueuedRequest head(long nowNanos) {
        moveLate(nowNanos);
        boolean isLateNext = served == LATE_INTERVAL - 1;
        if (onTime.isEmpty() || isLateNext && !late.isEmpty()) {
            return late.first();
        }
        return onTime.first();
    }

    /** The request to shed: the newest late one if late requests are the majority, else the newest one on time. */
    QueuedRequest newest(long nowNanos) {
        moveLate(nowNanos);
        return late.size() > onTime.size() ? late.last() : onTime.last();
    }

    private void moveLate(long nowNanos) {
        while (servesLateLast && !onTime.isEmpty() && onTime.first().isLate(nowNanos)) {
            late.add(onTime.pollFirst());
        }
    }
}
