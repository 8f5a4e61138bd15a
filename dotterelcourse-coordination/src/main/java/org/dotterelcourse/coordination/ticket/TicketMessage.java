package org.dotterelcourse.coordination.ticket;

/**
 * A message between the daemon that received a ticketed call and the ticket's minter.
 *
 * @param life incarnation number with which the process of the requesting daemon started; an answer repeats it
 * @param request number of the call at the requesting daemon; an answer repeats it
 * @param body content of the message
 */
public record TicketMessage(long life, long request, Body body) {
    /** Content of a message. */
    public sealed interface Body {}

    /**
     * Asks the minter to spend a ticket on the call.
     *
     * @param token the encoded ticket
     * @param customer the call's customer
     */
    public record Spend(String token, String customer) implements Body {}

    /**
     * Asks the minter to burn a ticket unless it is spent.
     *
     * @param token the encoded ticket
     * @param customer the caller's customer
     */
    public record Burn(String token, String customer) implements Body {}

    /**
     * Reports the outcome of the call to the minter.
     *
     * @param token the encoded ticket
     * @param outcome outcome of the call
     */
    public record Report(String token, TicketOutcome outcome) implements Body {}

    /**
     * The minter's answer to {@link Spend}, {@link Burn} and {@link Report}.
     *
     * @param verdict the verdict on the ticket
     */
    public record Answer(TicketVerdict verdict) implements Body {}
}
