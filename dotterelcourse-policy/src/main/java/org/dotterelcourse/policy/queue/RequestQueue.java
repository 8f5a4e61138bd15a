package org.dotterelcourse.policy.queue;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** The queue of a cell. Not safe for use by several threads at once. */
public interface RequestQueue {
    /**
     * A request that was removed from the queue to be granted.
     *
     * @param queued the request
     * @param place where it was placed
     * @param isMinimumShareGrant whether its class was chosen because it was below its minimum share
     * @param <P> type of the place
     */
    record Dequeued<P>(QueuedRequest queued, P place, boolean isMinimumShareGrant) {}

    /**
     * Adds a request.
     *
     * @param queued the request; no request with the same id may be in the queue
     */
    void add(QueuedRequest queued);

    /**
     * Removes a request without charging its class.
     *
     * @param requestId id of the request
     * @return the request, or empty if it isn't in the queue
     */
    Optional<QueuedRequest> remove(String requestId);

    /**
     * Removes the first request, in the order of service, that can be placed, and charges its class.
     *
     * @param placer returns a place for a request, or empty if there is none at present
     * @param nowNanos current monotonic time in nanoseconds
     * @param <P> type of the place
     * @return the request and its place, or empty if none could be placed
     */
    <P> Optional<Dequeued<P>> poll(Function<QueuedRequest, Optional<P>> placer, long nowNanos);

    /**
     * Removes a given request to serve it out of order, and charges its class.
     *
     * @param requestId id of the request
     * @return the request, or empty if it isn't in the queue
     */
    Optional<QueuedRequest> pollById(String requestId);

    /**
     * The next request of the highest tier that has any. It stays in the queue.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the request, or empty if the queue is empty
     */
    Optional<QueuedRequest> mostUrgent(long nowNanos);

    /**
     * All queued requests.
     *
     * @return a copy, in no particular order
     */
    List<QueuedRequest> all();

    /**
     * Removes one request if the queue is over its capacity: the newest one of the lowest tier.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the removed request, or empty if the queue is within its capacity
     */
    Optional<QueuedRequest> shed(long nowNanos);

    /**
     * Removes one request of a class if the class has more queued requests than its maximum.
     *
     * @param className name of the class
     * @param nowNanos current monotonic time in nanoseconds
     * @return the removed request, or empty if the class is within its maximum
     */
    Optional<QueuedRequest> shedFromClass(String className, long nowNanos);

    /**
     * Removes one request that can no longer meet its target and is useless when late.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the removed request, or empty if there is none
     */
    Optional<QueuedRequest> removeExpired(long nowNanos);

    /**
     * Corrects the charges to a class and a customer when the actual cost of a request is known.
     *
     * @param className name of the class
     * @param customer name of the customer
     * @param charged estimated cost that was charged for the request, in output tokens
     * @param actual actual cost of the request, in output tokens
     */
    void correctCharge(String className, String customer, double charged, double actual);

    /**
     * Estimates the work that would be served before a request if it were added now.
     *
     * @param queued the request
     * @return work in output tokens
     */
    double workAhead(QueuedRequest queued);

    /**
     * Whether a request is in the queue.
     *
     * @param requestId id of the request
     * @return whether a request with this id is queued
     */
    boolean contains(String requestId);

    /**
     * The number of queued requests.
     *
     * @return the number of requests of all classes
     */
    int size();
}
