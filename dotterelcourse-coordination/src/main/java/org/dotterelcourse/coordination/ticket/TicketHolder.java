package org.dotterelcourse.coordination.ticket;

/**
 * The call on which a ticket was spent.
 *
 * @param member name of the member that runs the call
 * @param life incarnation number with which the process of that member started
 * @param request number of the call at that member
 */
record TicketHolder(String member, long life, long request) {}
