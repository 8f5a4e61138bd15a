package org.dotterelcourse.coordination.limit;

/** An action that the embedder of a {@link LimitOwner} or a {@link LimitClient} must carry out. */
public sealed interface LimitEffect {
    /**
     * Send a message. The receiver may be this member itself.
     *
     * @param to member name of the receiver
     * @param message the message
     */
    record Send(String to, LimitMessage message) implements LimitEffect {}

    /**
     * Charge the customer's waiting calls again.
     *
     * @param customer the customer
     */
    record Refilled(String customer) implements LimitEffect {}
}
