/**
 * At most once for calls that may not be repeated, without shared state. A ticket belongs to the process incarnation
 * that minted it; only that process's memory says whether it is spent.
 * {@link org.dotterelcourse.coordination.ticket.TicketCoordinator} is what a daemon embeds;
 * {@link org.dotterelcourse.coordination.ticket.IdempotencyTable} covers calls without a ticket that reach the same
 * process twice.
 */
package org.dotterelcourse.coordination.ticket;
