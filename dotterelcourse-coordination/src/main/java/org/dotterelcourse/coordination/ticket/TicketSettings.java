package org.dotterelcourse.coordination.ticket;

/**
 * Timeouts and limits of tickets.
 *
 * @param lifetimeNanos nanoseconds from minting until a ticket expires; its outcome is kept as long
 * @param maxTickets maximum number of unexpired tickets that a process keeps; at the limit it mints no more
 * @param maxPerCustomer maximum number of unexpired tickets per customer, so that one customer cannot use up the limit
 *     of the process
 * @param answerTimeoutNanos maximum time in nanoseconds that a forwarded call waits for the minter's verdict
 * @param maxForwarded maximum number of forwarded calls that a process keeps
 */
public record TicketSettings(
        long lifetimeNanos, int maxTickets, int maxPerCustomer, long answerTimeoutNanos, int maxForwarded) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is not positive
     */
    public TicketSettings {
        if (lifetimeNanos <= 0
                || maxTickets <= 0
                || maxPerCustomer <= 0
                || answerTimeoutNanos <= 0
                || maxForwarded <= 0) {
            throw new IllegalArgumentException("ticket settings must all be positive");
        }
    }

    /**
     * The defaults: lifetime 5 minutes, 100,000 tickets, 25,000 per customer, answer timeout 1 s, 10,000 forwarded
     * calls.
     *
     * @return the default settings
     */
    public static TicketSettings defaults() {
        return new TicketSettings(300 * NANOS_PER_SECOND, 100_000, 25_000, NANOS_PER_SECOND, 10_000);
    }
}
