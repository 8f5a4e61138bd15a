package org.dotterelcourse.policy.queue;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The waiting requests of one customer in one class, earliest deadline first among those that can still meet their target.
 *
 * <p>Answers sustained overload. Earliest deadline first alone then serves only what has just become late, and nobody's
 * target is met. So what is late steps behind, and is served in every {@value #LATE_TURN}th turn, the oldest first, so that
 * it ends too. A retry keeps its arrival and so its place.
 *
 * <p>The one to shed is the newest; where late ones hold more than half of the customer's places it is the newest of
 * these, else requests that have missed their target would keep out all that could meet theirs.
 */
final class CustomerQueue {
    private static final int LATE_TURN = 4;

    private static final Comparator<Waiting> EARLIEST_DEADLINE = Comparator.comparingLong(
                    (Waiting waiting) -> waiting.ask().dueNanos())
            .thenComparingLong(Waiting::sequence);

    private final String customer;
    private final boolean lateLast;
    private final TreeSet<Waiting> timely = new TreeSet<>(EARLIEST_DEADLINE);
    private final TreeSet<Waiting> late = new TreeSet<>(EARLIEST_DEADLINE);
    private double work;
    private double deficit;
    private int turn;

    CustomerQueue(String customer, boolean lateLast) {
        this.customer = customer;
        this.lateLast = lateLast;
    }

    String customer() {
        return customer;
    }

    int size() {
        return timely.size() + late.size();
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

    void settle(double difference, double mostDebt) {
        deficit = Math.max(-mostDebt, Math.min(mostDebt, deficit - difference));
    }

    void add(Waiting waiting) {
        timely.add(waiting);
        work += waiting.work();
    }

    void remove(Waiting waiting) {
        if (timely.remove(waiting) || late.remove(waiting)) {
            work -= waiting.work();
        }
    }

    void served() {
        turn = (turn + 1) % LATE_TURN;
    }

    Waiting first(long nowNanos) {
        setLateAside(nowNanos);
        boolean isLateTurn = turn == LATE_TURN - 1;
        if (timely.isEmpty() || isLateTurn && !late.isEmpty()) {
            return late.first();
        }
        return timely.first();
    }

    Waiting newest(long nowNanos) {
        setLateAside(nowNanos);
        return late.size() > timely.size() ? late.last() : timely.last();
    }

    private void setLateAside(long nowNanos) {
        while (lateLast && !timely.isEmpty() && timely.first().isLate(nowNanos)) {
            late.add(timely.pollFirst());
        }
    }
}
