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
 * The queued requests of one class. Its customers are served by deficit round robin (Shreedhar and Varghese, 1995),
 * measured in work, so that a customer with many or long requests gets no more of the class than one with few.
 *
 * <p>A request is charged by its estimated cost when it is served, and corrected when the actual cost is known. The
 * quantum is the largest cost among recent requests. It is never below the cost of the request at the head, so that one
 * visit is enough to serve a customer, and each step costs O(log n).
 */
final class ClassQueue {
    /** Maximum number of customers whose head request is tried for a place per call; bounds the cost of a decision. */
    private static final int MAX_HEADS_TRIED = 16;

    /** Maximum debt of a customer whose answers were longer than estimated; each quantum of debt skips one round. */
    private static final double MAX_DEBT_QUANTA = 4;

    /** Decay of the quantum per request: after a thousand requests without a long one it has fallen by two thirds. */
    private static final double QUANTUM_DECAY = 0.999;

    private static final Comparator<CustomerQueue> BY_SIZE =
            Comparator.comparingInt(CustomerQueue::size).thenComparing(CustomerQueue::customer);

    private final String name;
    private final boolean isFairToCustomers;
    private final boolean servesLateLast;
    /** In round-robin order. */
    private final Map<String, CustomerQueue> customers = new LinkedHashMap<>();

    private final TreeSet<CustomerQueue> bySize = new TreeSet<>(BY_SIZE);
    private final ClassAccount account = new ClassAccount();
    private ClassTerms terms;
    private double quantum;
    private double work;
    private int size;
    private boolean skippedForDebt;

    ClassQueue(ClassTerms terms, CellSettings settings) {
        this.name = terms.name();
        this.terms = terms;
        this.isFairToCustomers = settings.isEnabled(Mechanism.CUSTOMER_FAIRNESS);
        this.servesLateLast = settings.isEnabled(Mechanism.LATE_LAST);
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

    /** The largest cost among recent requests, in output tokens. */
    double quantum() {
        return quantum;
    }

    int size() {
        return size;
    }

    double work() {
        return work;
    }

    void add(QueuedRequest queued) {
        terms = queued.request().terms();
        quantum = Math.max(quantum * QUANTUM_DECAY, queued.work());
        CustomerQueue queue = customers.get(customerKey(queued));
        if (queue == null) {
            queue = new CustomerQueue(customerKey(queued), servesLateLast);
            customers.put(queue.customer(), queue);
        } else {
            bySize.remove(queue);
        }
        queue.add(queued);
        bySize.add(queue);
        size++;
        work += queued.work();
    }

    void remove(QueuedRequest queued) {
        CustomerQueue queue = customers.get(customerKey(queued));
        bySize.remove(queue);
        queue.remove(queued);
        size--;
        work = size == 0 ? 0 : work - queued.work();
        if (queue.size() > 0) {
            bySize.add(queue);
            return;
        }
        customers.remove(queue.customer());
    }

    /**
     * Removes the next request of this class that can be placed. Customers in debt are skipped first; if none of the
     * others has a request that can be placed, debts are ignored.
     */
    <P> Optional<RequestQueue.Dequeued<P>> poll(
            Function<QueuedRequest, Optional<P>> placer, boolean isMinimumShareGrant, long nowNanos) {
        skippedForDebt = false;
        Optional<RequestQueue.Dequeued<P>> inOrder = poll(placer, isMinimumShareGrant, true, nowNanos);
        boolean isDone = inOrder.isPresent() || !skippedForDebt;
        return isDone ? inOrder : poll(placer, isMinimumShareGrant, false, nowNanos);
    }

    /** Corrects the deficit of a customer when the actual cost of a request is known. */
    void correctCharge(String customer, double difference) {
        CustomerQueue queue = customers.get(isFairToCustomers ? customer : "");
        if (queue != null) {
            queue.correctCharge(difference, MAX_DEBT_QUANTA * quantum);
        }
    }

    private <P> Optional<RequestQueue.Dequeued<P>> poll(
            Function<QueuedRequest, Optional<P>> placer,
            boolean isMinimumShareGrant,
            boolean skipsDebtors,
            long nowNanos) {
        int tries = Math.min(MAX_HEADS_TRIED, customers.size());
        for (int i = 0; i < tries; i++) {
            CustomerQueue queue = first();
            QueuedRequest head = queue.head(nowNanos);
            if (skipsDebtors && isInDebt(queue, head)) {
                skippedForDebt = true;
                queue.addDeficit(quantum);
                moveToBack(queue);
                continue;
            }
            Optional<P> place = placer.apply(head);
            if (place.isPresent()) {
                serve(queue, head, nowNanos);
                return Optional.of(new RequestQueue.Dequeued<>(head, place.get(), isMinimumShareGrant));
            }
            moveToBack(queue);
        }
        return Optional.empty();
    }

    QueuedRequest head(long nowNanos) {
        return first().head(nowNanos);
    }

    /** The newest request of the customer with the longest queue, so that a flood displaces only its own requests. */
    QueuedRequest newestOfLongest(long nowNanos) {
        return bySize.last().newest(nowNanos);
    }

    /** The work of this class that would be served before a new request of the same customer. */
    double workAhead(QueuedRequest queued) {
        CustomerQueue queue = customers.get(customerKey(queued));
        double own = queue == null ? 0 : queue.work();
        int customerCount = customers.size() + (queue == null ? 1 : 0);
        return Math.min(work, (own + queued.work()) * customerCount - queued.work());
    }

    private boolean isInDebt(CustomerQueue queue, QueuedRequest head) {
        return queue.deficit() + Math.max(quantum, head.work()) < head.work();
    }

    private void serve(CustomerQueue queue, QueuedRequest head, long nowNanos) {
        queue.countServed();
        if (queue.deficit() < head.work()) {
            queue.addDeficit(Math.max(quantum, head.work()));
        }
        queue.addDeficit(-head.work());
        remove(head);
        if (queue.size() > 0 && queue.deficit() < queue.head(nowNanos).work()) {
            moveToBack(queue);
        }
    }

    private CustomerQueue first() {
        return customers.values().iterator().next();
    }

    private void moveToBack(CustomerQueue queue) {
        customers.remove(queue.customer());
        customers.put(queue.customer(), queue);
    }

    private String customerKey(QueuedRequest queued) {
        return isFairToCustomers ? queued.request().customer() : "";
    }
}
