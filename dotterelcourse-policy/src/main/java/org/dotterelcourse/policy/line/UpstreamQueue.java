package org.dotterelcourse.policy.line;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Priority queue of the requests that wait in one process for a free slot at an upstream's engines. Not thread-safe.
 *
 * <p>A request leaves the queue with a decision, which its recipient is told at once and exactly once, or because it was
 * withdrawn. No method removes requests otherwise.
 *
 * <p>Answers a burst of long prompts that can wait, and a customer that sends many times its usual load. Without a
 * queue, the engines would process all prompts of a burst at the same time and generate so slowly that clients give
 * up: of 646 requests in a burst of 2.3 times the usual load, 337 were abandoned after 14 s of work each. A request
 * in the queue costs the engines nothing.
 *
 * <p>Requests are ordered by priority. Within a priority, requests that can still meet their latency target precede
 * late ones, so that a late request does not delay others past their targets. Among the rest, the queue alternates
 * between the oldest request and the request of the customer with the fewest recent dispatches, so that a customer
 * that sends more than all others together neither takes all slots nor is left without any.
 *
 * @param <T> the type of the caller's objects for requests
 * @param <D> the type of the decisions
 */
public final class UpstreamQueue<T, D> {
    /** Half-life of the dispatch counts, about the time in which a burst builds up. */
    private static final double HALF_LIFE_NANOS = 4e9;

    /** Number of customers above which those with hardly any recent dispatches are evicted, to bound the memory. */
    private static final int MAX_CUSTOMERS = 256;

    /** Customers with a smaller decayed dispatch count may be evicted. */
    private static final double MIN_DISPATCHES = 0.01;

    private static final double NANOS_PER_MILLI = 1e6;

    private final List<Entry<T, D>> pending = new ArrayList<>();
    private final Map<String, DecayedCount> dispatchesByCustomer = new HashMap<>();
    private boolean isOldestNext;
    private double dispatches;
    private long dispatchedNanos;

    /** A count that decays exponentially, with the time of its last update. */
    private record DecayedCount(double count, long updatedNanos) {
        double at(long nowNanos) {
            return count * Math.pow(0.5, Math.max(0, nowNanos - updatedNanos) / HALF_LIFE_NANOS);
        }
    }

    /** A pending request with the recipient of its decision. Compared by identity: two requests may be equal. */
    private static final class Entry<T, D> {
        private final PendingRequest<T> request;
        private final Consumer<? super D> recipient;

        private Entry(PendingRequest<T> request, Consumer<? super D> recipient) {
            this.request = request;
            this.recipient = recipient;
        }
    }

    /**
     * Adds a request.
     *
     * @param request the request
     * @param recipient is told the decision on the request; may add, withdraw and decide other requests
     */
    public void add(PendingRequest<T> request, Consumer<? super D> recipient) {
        pending.add(new Entry<>(request, recipient));
    }

    /**
     * Removes a request whose client no longer waits for a decision. Does nothing if it is not in the queue.
     *
     * @param item the caller's object for the request
     */
    public void withdraw(T item) {
        pending.removeIf(each -> each.request.item().equals(item));
    }

    /**
     * Decides on a request, which leaves the queue. Does nothing if it is not in the queue.
     *
     * @param item the caller's object for the request
     * @param decision the decision
     */
    public void decide(T item, D decision) {
        Objects.requireNonNull(decision, "decision");
        pending.stream()
                .filter(each -> each.request.item().equals(item))
                .findFirst()
                .ifPresent(entry -> complete(entry, decision));
    }

    /**
     * Decides on the pending requests by a rule, in the order in which they were added. Requests that are added meanwhile are
     * not offered. If the rule or a recipient fails, all other requests are still offered; then the first failure is thrown.
     *
     * @param rule returns the decision on a request, or empty if it stays in the queue
     */
    public void decideEach(Function<? super PendingRequest<T>, Optional<D>> rule) {
        RuntimeException failure = null;
        for (Entry<T, D> entry : List.copyOf(pending)) {
            try {
                if (pending.contains(entry)) {
                    rule.apply(entry.request).ifPresent(decision -> complete(entry, decision));
                }
            } catch (RuntimeException e) {
                if (failure == null) {
                    failure = e;
                } else {
                    failure.addSuppressed(e);
                }
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    private void complete(Entry<T, D> entry, D decision) {
        if (pending.remove(entry)) {
            entry.recipient.accept(decision);
        }
    }

    /**
     * Returns the number of pending requests.
     *
     * @return the number of requests in the queue
     */
    public int size() {
        return pending.size();
    }

    /**
     * Returns the request to dispatch next, without removing it.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the next request, or empty if the queue is empty
     */
    public Optional<PendingRequest<T>> peekNext(long nowNanos) {
        return peekNext(nowNanos, request -> true);
    }

    /**
     * Returns the request to dispatch next among some of them, without removing it.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @param eligible whether a request may be dispatched now
     * @return the next request, or empty if none may be dispatched
     */
    public Optional<PendingRequest<T>> peekNext(long nowNanos, Predicate<? super PendingRequest<T>> eligible) {
        Comparator<PendingRequest<T>> order = Comparator.<PendingRequest<T>>comparingInt(PendingRequest::priority)
                .thenComparing(each -> nowNanos > each.latestOnTimeStartNanos())
                .thenComparingDouble(isOldestNext ? each -> 0 : recentDispatches(nowNanos))
                .thenComparingLong(PendingRequest::arrivalNanos);
        return pending.stream().map(each -> each.request).filter(eligible).min(order);
    }

    private ToDoubleFunction<PendingRequest<T>> recentDispatches(long nowNanos) {
        return each -> dispatchesByCustomer.containsKey(each.customer())
                ? dispatchesByCustomer.get(each.customer()).at(nowNanos)
                : 0;
    }

    /**
     * Records that a request was dispatched to an engine, whether or not it was queued before.
     *
     * @param customer the name of the customer that sent the request
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void recordDispatch(String customer, long nowNanos) {
        isOldestNext = !isOldestNext;
        dispatches = recentDispatchesOfAll(nowNanos) + 1;
        dispatchedNanos = nowNanos;
        DecayedCount previous = dispatchesByCustomer.getOrDefault(customer, new DecayedCount(0, nowNanos));
        dispatchesByCustomer.put(customer, new DecayedCount(previous.at(nowNanos) + 1, nowNanos));
        if (dispatchesByCustomer.size() > MAX_CUSTOMERS) {
            dispatchesByCustomer.values().removeIf(each -> each.at(nowNanos) < MIN_DISPATCHES);
        }
    }

    private double recentDispatchesOfAll(long nowNanos) {
        return dispatches * Math.pow(0.5, Math.max(0, nowNanos - dispatchedNanos) / HALF_LIFE_NANOS);
    }

    /**
     * Estimates how long a new request would wait: the length of the queue divided by the recent dispatch rate.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the estimate in milliseconds; 0 if the queue is empty
     */
    public double expectedWaitMillis(long nowNanos) {
        double perNano = recentDispatchesOfAll(nowNanos) * Math.log(2) / HALF_LIFE_NANOS;
        double nanos = perNano == 0 ? HALF_LIFE_NANOS : pending.size() / perNano;
        return pending.isEmpty() ? 0 : nanos / NANOS_PER_MILLI;
    }
}
