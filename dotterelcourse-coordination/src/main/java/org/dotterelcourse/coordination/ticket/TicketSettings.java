package org.dotterelcourse.coordination.ticket;

/**
 * Times and bounds of tickets.
 *
 * @param lifetimeNanos how long a ticket may be spent, and how long what became of it is remembered
 * @param maxTickets how many tickets that have not expired one process remembers; minting is refused above it
 * @param maxPerCustomer how many of them one customer may have, so that one can't lock the others out
 * @param answerTimeoutNanos how long a forwarded call waits for the minter's verdict
 * @param maxForwarded how many forwarded calls a process keeps
 */
public record TicketSettings(
        long lifetimeNanos, int maxTickets, int maxPerCustomer, long answerTimeoutNanos, int maxForwarded) {
    private static final long SECOND = 1_000_000_000L;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value isn't positive
     */
    public TicketSettings {
        if (lifetimeNanos <= 0
                || maxTickets <= 0
                || maxPerCustomer <= 0
                || answerTimeoutNanos <= 0
                || maxForwarded <= 0) {
            throw new IllegalArgumentException("every value must be positive");
        }
    }

    /**
     * The defaults: 5 minutes, 100,000 tickets, a quarter of them per customer, 1 s, 10,000 forwarded calls.
     *
     * @return the settings
     */
    public static TicketSettings defaults() {
        return new TicketSettings(300 * SECOND, 100_000, 25_000, SECOND, 10_000);
    }
}
