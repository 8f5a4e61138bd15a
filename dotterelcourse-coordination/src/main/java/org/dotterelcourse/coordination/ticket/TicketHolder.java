package org.dotterelcourse.coordination.ticket;

/** The one request that a ticket was spent on: its daemon, that daemon's life, and the request's number there. */
record TicketHolder(String member, long life, long request) {}
