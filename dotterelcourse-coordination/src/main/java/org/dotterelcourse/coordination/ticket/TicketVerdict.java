package org.dotterelcourse.coordination.ticket;

import java.util.Optional;

/** What a ticket allows. Only {@link SpendNow} allows the call to be run. */
public sealed interface TicketVerdict {
    /** The ticket is spent on this call, which is to be run now, once. */
    record SpendNow() implements TicketVerdict {}

    /**
     * The ticket was spent before.
     *
     * @param outcome what became of that call; empty while it runs, or if its daemon never told
     */
    record AlreadySpent(Optional<TicketOutcome> outcome) implements TicketVerdict {}

    /** The ticket's call did not run and never will: its minter says so. The caller may be told "not run". */
    record Burned() implements TicketVerdict {}

    /**
     * Whether the ticket was spent can't be known. The caller is to be told "unknown".
     *
     * @param reason why
     */
    record Unknown(Reason reason) implements TicketVerdict {}

    /**
     * The ticket's lifetime is over and its minter has forgotten it. It can't run any more, but it may have run before
     * it expired: the caller is to be told "unknown".
     */
    record Expired() implements TicketVerdict {}

    /** The minter did not make this ticket for this customer. Nothing ran because of this call. */
    record Forged() implements TicketVerdict {}

    /** Why a verdict is unknown. */
    enum Reason {
        /** An earlier incarnation of the minter made the ticket, and its memory is gone. */
        EARLIER_LIFE,
        /** The minter did not answer in time. */
        UNREACHABLE,
        /** This daemon forwards as many calls as it may at once. Nothing was sent for this call. */
        TOO_MANY_FORWARDED
    }
}
