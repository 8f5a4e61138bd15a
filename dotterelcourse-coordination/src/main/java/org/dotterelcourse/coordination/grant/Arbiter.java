package org.dotterelcourse.coordination.grant;

import java.util.List;

/**
 * Decides who is served next, where, and who is refused. The owner of a cell holds one, and an asker holds a smaller
 * one for the time when no owner can be reached.
 *
 * <p>An arbiter is a state machine: each method takes an event with its time and returns the decisions that follow, in
 * order. Payloads are opaque to this module. Times are nanoseconds of one monotonic clock and never fall from call to
 * call.
 */
public interface Arbiter {
    /**
     * A request arrives.
     *
     * @param askId its id, unique among those waiting or running
     * @param arrivalNanos when a daemon first took it, on the arbiter's clock
     * @param terms what the embedder says about it
     * @param nowNanos the time
     * @return the decisions
     */
    List<Decision> offer(String askId, long arrivalNanos, byte[] terms, long nowNanos);

    /**
     * A waiting request is no longer wanted. Unknown ids are passed over.
     *
     * @param askId its id
     * @param nowNanos the time
     * @return the decisions
     */
    List<Decision> withdraw(String askId, long nowNanos);

    /**
     * A granted request makes progress. Unknown grants are passed over.
     *
     * @param grant the grant's number
     * @param units how much has been done so far, for instance output tokens
     * @param nowNanos the time
     * @return the decisions
     */
    List<Decision> progress(long grant, int units, long nowNanos);

    /**
     * A granted request has ended. Unknown grants are passed over.
     *
     * @param grant the grant's number
     * @param observation what the asker saw; empty if the grant was never used
     * @param nowNanos the time
     * @return the decisions
     */
    List<Decision> release(long grant, byte[] observation, long nowNanos);

    /**
     * A grant ends without word of its asker: the lease ran out, or the asker restarted. Whether the request ran is
     * not known. Unknown grants are passed over.
     *
     * @param grant the grant's number
     * @param nowNanos the time
     * @return the decisions
     */
    List<Decision> expire(long grant, long nowNanos);

    /**
     * A request is running already, by a grant of an earlier owner. It is counted even where that puts its worker above
     * its capacity.
     *
     * @param askId the ask's id
     * @param worker the worker's name
     * @param arrivalNanos when a daemon first took it
     * @param terms what the embedder says about it
     * @param nowNanos the time
     * @return the number that this arbiter gives to the grant
     */
    long adopt(String askId, String worker, long arrivalNanos, byte[] terms, long nowNanos);

    /**
     * Time has passed. To be called every few tens of milliseconds.
     *
     * @param nowNanos the time
     * @return the decisions
     */
    List<Decision> advance(long nowNanos);
}
