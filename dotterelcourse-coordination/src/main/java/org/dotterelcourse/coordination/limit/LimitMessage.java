package org.dotterelcourse.coordination.limit;

import java.util.List;

/** A message between a daemon that receives calls of customers and the owner of some of these customers. */
public sealed interface LimitMessage {
    /**
     * Requests slices from an owner.
     *
     * @param life incarnation number with which the client's process started
     * @param wants the requests, at most one per customer
     */
    record Wants(long life, List<Want> wants) implements LimitMessage {}

    /**
     * The owner's reply to {@link Wants}.
     *
     * @param life incarnation number from the request; a client ignores replies to an earlier incarnation
     * @param slices the leased slices
     */
    record Slices(long life, List<Slice> slices) implements LimitMessage {}

    /**
     * Requests a slice of a customer's budget, or returns the unused rest of one.
     *
     * @param customer the customer
     * @param sequence sequence number, which increases with each request of the client; a retransmission keeps it
     * @param amount the amount requested
     * @param returned the amount returned to the budget
     */
    record Want(String customer, long sequence, Amount amount, Amount returned) {}

    /**
     * The reply to a {@link Want}.
     *
     * @param customer the customer
     * @param sequence sequence number of the request
     * @param amount the amount leased, which the client may spend in addition to its balance
     * @param shareMillionths millionths of the budget that the client may spend in local mode, while the owner does not
     *     answer; the shares of all clients add up to at most a million
     * @param retryAfterNanos nanoseconds until the budget has refilled by the amount that was requested but not leased;
     *     0 if all of it was leased
     */
    record Slice(String customer, long sequence, Amount amount, int shareMillionths, long retryAfterNanos) {}
}
