/**
 * At-most-once execution of calls that must not be repeated, without shared state. A ticket belongs to the process
 * incarnation that minted it, and only the memory of that process records whether the ticket is spent. A daemon embeds
 * {@link org.dotterelcourse.coordination.ticket.TicketCoordinator}. {@link
 * org.dotterelcourse.coordination.ticket.IdempotencyTable} detects repeated calls without a ticket that reach the same
 * process.
 */
package org.dotterelcourse.coordination.ticket;
