package org.dotterelcourse.coordination.limit;

/** What the embedder of a {@link LimitOwner} or a {@link LimitClient} has to do. */
public sealed interface LimitEffect {
    /**
     * Send a message; to the member's own home as well.
     *
     * @param to the receiver's member name
     * @param message the message
     */
    record Send(String to, LimitMessage message) implements LimitEffect {}

    /**
     * The customer's waiting calls may be tried again.
     *
     * @param customer the customer
     */
    record Refilled(String customer) implements LimitEffect {}
}
