package org.dotterelcourse.coordination.limit;

import java.util.List;

/** A message between a daemon that takes customers' calls and a home of some of them. */
public sealed interface LimitMessage {
    /**
     * To the home.
     *
     * @param life the incarnation with which the asking daemon's process started
     * @param wants what it wants, at most one for each customer
     */
    record Wants(long life, List<Want> wants) implements LimitMessage {}

    /**
     * From the home.
     *
     * @param life the life of the daemon that is meant
     * @param slices what it gets
     */
    record Slices(long life, List<Slice> slices) implements LimitMessage {}

    /**
     * Asks for a slice, or gives the rest of one back.
     *
     * @param customer the customer
     * @param sequence rises with each want of this daemon; one that is sent again keeps it
     * @param amount how much is wanted
     * @param returned how much is given back
     */
    record Want(String customer, long sequence, Amount amount, Amount returned) {}

    /**
     * Answers a {@link Want}.
     *
     * @param customer the customer
     * @param sequence the want's number
     * @param amount how much the daemon may spend in addition to what it has
     * @param shareMillionths its part of the budget if the home can't be reached, in millionths; the parts of all
     *     daemons add up to a million at most
     * @param retryAfterNanos if less was given than wanted, when there will be more
     */
    record Slice(String customer, long sequence, Amount amount, int shareMillionths, long retryAfterNanos) {}
}
