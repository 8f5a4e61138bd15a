package org.dotterelcourse.policy.queue;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** The requests that wait in a cell. Not safe for use by several threads at once. */
public interface WaitingQueue {
    /**
     * A request that was taken out to be served.
     *
     * @param waiting the request
     * @param place where it goes
     * @param owed whether its class was served because of its minimum share
     * @param <P> the kind of place
     */
    record Taken<P>(Waiting waiting, P place, boolean owed) {}

    /**
     * Adds a request.
     *
     * @param waiting the request; its id must not wait already
     */
    void add(Waiting waiting);

    /**
     * Removes a request.
     *
     * @param requestId its id
     * @return the request, or empty if it doesn't wait
     */
    Optional<Waiting> remove(String requestId);

    /**
     * Takes out the request that is to be served next, among those that can be placed.
     *
     * @param placer finds a place for a request, or none
     * @param nowNanos the time
     * @param <P> the kind of place
     * @return the request and its place, or empty if none could be placed
     */
    <P> Optional<Taken<P>> next(Function<Waiting, Optional<P>> placer, long nowNanos);

    /**
     * Takes out a request to be served out of turn, and charges its class for it.
     *
     * @param requestId its id
     * @return the request, or empty if it doesn't wait
     */
    Optional<Waiting> take(String requestId);

    /**
     * The request of the highest tier that is next in that tier. It stays in the queue.
     *
     * @param nowNanos the time
     * @return the request, or empty if none waits
     */
    Optional<Waiting> mostUrgent(long nowNanos);

    /**
     * All that wait.
     *
     * @return a copy, in no order
     */
    List<Waiting> all();

    /**
     * Takes out one request if more wait than may: the newest of the lowest tier.
     *
     * @param nowNanos the time
     * @return the request, or empty if the bound holds
     */
    Optional<Waiting> shed(long nowNanos);

    /**
     * Takes out one request of a class if more of it wait than may.
     *
     * @param className the class's name
     * @param nowNanos the time
     * @return the request, or empty if the class's bound holds
     */
    Optional<Waiting> shedFromClass(String className, long nowNanos);

    /**
     * Takes out a request that can't meet its target any more, and is useless late.
     *
     * @param nowNanos the time
     * @return the request, or empty if there is none
     */
    Optional<Waiting> expired(long nowNanos);

    /**
     * Corrects the accounts of a class and a customer when the work of a request has become known.
     *
     * @param className the class's name
     * @param customer the customer's name
     * @param charged the work it was charged when it was taken out, in output tokens
     * @param actual the work it was, in output tokens
     */
    void settle(String className, String customer, double charged, double actual);

    /**
     * The work that will be served before a request would be, if it entered now.
     *
     * @param waiting the request
     * @return work in output tokens
     */
    double workAhead(Waiting waiting);

    /**
     * Whether a request waits.
     *
     * @param requestId its id
     * @return whether it does
     */
    boolean contains(String requestId);

    /**
     * How many requests wait.
     *
     * @return the number
     */
    int size();
}
