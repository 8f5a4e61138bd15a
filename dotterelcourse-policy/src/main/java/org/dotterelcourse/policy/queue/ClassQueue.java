package org.dotterelcourse.policy.queue;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

import org.dotterelcourse.policy.cell.CellSettings;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Mechanism;

/**
 * The waiting requests of one class. Customers take turns by deficit round robin (Shreedhar and Varghese, 1995),
 * measured in work, so that a customer with many or long requests gets no more of the class than one with few.
 *
 * <p>A turn is charged by estimate, and corrected when the work is known. The quantum is the largest work seen of late. It is never below the work of a head, so that one visit is enough to
 * serve a customer, and a turn costs O(log n).
 */
final class ClassQueue {
    /** How many customers' heads are tried for a place in one go; bounds the cost of a decision. */
    private static final int MAX_HEADS_TRIED = 16;

    /** A customer whose answer was much longer than estimated passes at most so many turns for it. */
    private static final double MOST_DEBT = 4;

    /** The quantum's memory: after a thousand requests without a long one it has fallen by two thirds. */
    private static final double QUANTUM_DECAY = 0.999;

    private static final Comparator<CustomerQueue> FEWEST_WAITING =
            Comparator.comparingInt(CustomerQueue::size).thenComparing(CustomerQueue::customer);

    private final String name;
    private final boolean customersShare;
    private final boolean lateLast;
    /** In the order of their turns. */
    private final Map<String, CustomerQueue> customers = new LinkedHashMap<>();

    private final TreeSet<CustomerQueue> bySize = new TreeSet<>(FEWEST_WAITING);
    private final ClassAccount account = new ClassAccount();
    private ClassTerms terms;
    private double quantum;
    private double work;
    private int size;
    private boolean passedForDebt;

    ClassQueue(ClassTerms terms, CellSettings settings) {
        this.name = terms.name();
        this.terms = terms;
        this.customersShare = settings.isEnabled(Mechanism.CUSTOMER_FAIRNESS);
        this.lateLast = settings.isEnabled(Mechanism.LATE_LAST);
    }

    String name() {
        return name;
    }

    ClassTerms terms() {
        return terms;
    }

    ClassAccount account() {
        return account;
    }

    /** The largest work of late. */
    double quantum() {
        return quantum;
    }

    int size() {
        return size;
    }

    double work() {
        return work;
    }

    void add(Waiting waiting) {
        terms = waiting.ask().terms();
        quantum = Math.max(quantum * QUANTUM_DECAY, waiting.work());
        CustomerQueue queue = customers.get(key(waiting));
        if (queue == null) {
            queue = new CustomerQueue(key(waiting), lateLast);
            customers.put(queue.customer(), queue);
        } else {
            bySize.remove(queue);
        }
        queue.add(waiting);
        bySize.add(queue);
        size++;
        work += waiting.work();
    }

    void remove(Waiting waiting) {
        CustomerQueue queue = customers.get(key(waiting));
        bySize.remove(queue);
        queue.remove(waiting);
        size--;
        work = size == 0 ? 0 : work - waiting.work();
        if (queue.size() > 0) {
            bySize.add(queue);
            return;
        }
        customers.remove(queue.customer());
    }

    /** Takes out the next request of this class for which there is a place. */
    <P> Optional<WaitingQueue.Taken<P>> next(Function<Waiting, Optional<P>> placer, boolean owed, long nowNanos) {
        passedForDebt = false;
        Optional<WaitingQueue.Taken<P>> inTurn = next(placer, owed, true, nowNanos);
        boolean isDone = inTurn.isPresent() || !passedForDebt;
        return isDone ? inTurn : next(placer, owed, false, nowNanos);
    }

    /** Corrects a customer's turns when the work of a request has become known. */
    void settle(String customer, double difference) {
        CustomerQueue queue = customers.get(customersShare ? customer : "");
        if (queue != null) {
            queue.settle(difference, MOST_DEBT * quantum);
        }
    }

    private <P> Optional<WaitingQueue.Taken<P>> next(
            Function<Waiting, Optional<P>> placer, boolean owed, boolean debtsCount, long nowNanos) {
        int tries = Math.min(MAX_HEADS_TRIED, customers.size());
        for (int i = 0; i < tries; i++) {
            CustomerQueue queue = first();
            Waiting head = queue.first(nowNanos);
            if (debtsCount && isInDebt(queue, head)) {
                passedForDebt = true;
                queue.addDeficit(quantum);
                endTurn(queue);
                continue;
            }
            Optional<P> place = placer.apply(head);
            if (place.isPresent()) {
                serve(queue, head, nowNanos);
                return Optional.of(new WaitingQueue.Taken<>(head, place.get(), owed));
            }
            endTurn(queue);
        }
        return Optional.empty();
    }

    Waiting head(long nowNanos) {
        return first().first(nowNanos);
    }

    /** The newest request of the customer who has most waiting, so that a flood pushes out its own. */
    Waiting newestOfLongest(long nowNanos) {
        return bySize.last().newest(nowNanos);
    }

    /** The work of this class that is served before a new request of the customer. */
    double workAhead(Waiting waiting) {
        CustomerQueue queue = customers.get(key(waiting));
        double own = queue == null ? 0 : queue.work();
        int turns = customers.size() + (queue == null ? 1 : 0);
        return Math.min(work, (own + waiting.work()) * turns - waiting.work());
    }

    private boolean isInDebt(CustomerQueue queue, Waiting head) {
        return queue.deficit() + Math.max(quantum, head.work()) < head.work();
    }

    private void serve(CustomerQueue queue, Waiting head, long nowNanos) {
        queue.served();
        if (queue.deficit() < head.work()) {
            queue.addDeficit(Math.max(quantum, head.work()));
        }
        queue.addDeficit(-head.work());
        remove(head);
        if (queue.size() > 0 && queue.deficit() < queue.first(nowNanos).work()) {
            endTurn(queue);
        }
    }

    private CustomerQueue first() {
        return customers.values().iterator().next();
    }

    private void endTurn(CustomerQueue queue) {
        customers.remove(queue.customer());
        customers.put(queue.customer(), queue);
    }

    private String key(Waiting waiting) {
        return customersShare ? waiting.ask().customer() : "";
    }
}
