package org.dotterelcourse.coordination.grant;

import java.util.List;

/**
 * Scheduling policy of a cell: decides which request runs next on which worker, and which requests are rejected. The
 * owner of a cell has one, and each client has one for its fraction of the capacity, used while no owner is reachable.
 *
 * <p>An arbiter is a state machine: each method takes an event with its time and returns the resulting decisions in
 * order. Payloads are opaque to this module. Times are nanoseconds of one monotonic clock and never decrease from call
 * to call.
 */
public interface Arbiter {
    /**
     * Handles a new request.
     *
     * @param askId identifier of the ask, unique among the waiting and running ones
     * @param arrivalNanos time at which a daemon first accepted the request, in nanoseconds of the arbiter's clock
     * @param terms opaque payload of the embedder that describes the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions in order
     */
    List<Decision> offer(String askId, long arrivalNanos, byte[] terms, long nowNanos);

    /**
     * Cancels a waiting request. Unknown identifiers are ignored.
     *
     * @param askId identifier of the ask
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions in order
     */
    List<Decision> withdraw(String askId, long nowNanos);

    /**
     * Handles progress of a granted request. Unknown grants are ignored.
     *
     * @param grant number of the grant
     * @param units progress so far, for instance output tokens
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions in order
     */
    List<Decision> progress(long grant, int units, long nowNanos);

    /**
     * Handles the end of a granted request. Unknown grants are ignored.
     *
     * @param grant number of the grant
     * @param observation opaque payload with the client's observation of the run; empty if the grant was never used
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions in order
     */
    List<Decision> release(long grant, byte[] observation, long nowNanos);

    /**
     * Ends a grant without a release by its client, because the lease expired or the client restarted. It is unknown
     * whether the request ran. Unknown grants are ignored.
     *
     * @param grant number of the grant
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions in order
     */
    List<Decision> expire(long grant, long nowNanos);

    /**
     * Adds a request that already runs under a grant of an earlier owner. It is counted even if its worker exceeds its
     * capacity as a result.
     *
     * @param askId identifier of the ask
     * @param worker name of the worker
     * @param arrivalNanos time at which a daemon first accepted the request, in nanoseconds of the arbiter's clock
     * @param terms opaque payload of the embedder that describes the request
     * @param nowNanos current monotonic time in nanoseconds
     * @return number that this arbiter assigns to the grant
     */
    long adopt(String askId, String worker, long arrivalNanos, byte[] terms, long nowNanos);

    /**
     * Makes the decisions that are due at the given time. Must be called every few tens of milliseconds.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return the resulting decisions in order
     */
    List<Decision> advance(long nowNanos);
}
