package org.dotterelcourse.coordination.ticket;

/**
 * A message between the daemon that has a ticketed call and the ticket's minter.
 *
 * @param life the incarnation with which the asking daemon's process started
 * @param request the call's number at that daemon
 * @param body what is said
 */
public record TicketMessage(long life, long request, Body body) {
    /** What is said. */
    public sealed interface Body {}

    /**
     * Asks the minter to spend a ticket on the call.
     *
     * @param token the ticket
     * @param customer the call's customer
     */
    public record Spend(String token, String customer) implements Body {}

    /**
     * Asks the minter to burn a ticket unless it was spent.
     *
     * @param token the ticket
     * @param customer the customer
     */
    public record Burn(String token, String customer) implements Body {}

    /**
     * Tells the minter what became of the call.
     *
     * @param token the ticket
     * @param outcome the outcome
     */
    public record Report(String token, TicketOutcome outcome) implements Body {}

    /**
     * Answers {@link Spend} and {@link Burn}.
     *
     * @param verdict the verdict
     */
    public record Answer(TicketVerdict verdict) implements Body {}
}
