package org.dotterelcourse.coordination.ticket;

import java.util.Optional;

/** The minter's decision on a call with a ticket. Only {@link SpendNow} permits the call to run. */
public sealed interface TicketVerdict {
    /** The ticket is spent on this call, which must now be run exactly once. */
    record SpendNow() implements TicketVerdict {}

    /**
     * The ticket was already spent on another call.
     *
     * @param outcome outcome of that call; empty while it runs, or if its daemon has not reported an outcome
     */
    record AlreadySpent(Optional<TicketOutcome> outcome) implements TicketVerdict {}

    /**
     * The minter guarantees that the ticket's call did not run and never will. The caller may get the answer "not run".
     */
    record Burned() implements TicketVerdict {}

    /**
     * It cannot be determined whether the ticket was spent. The caller must get the answer "unknown".
     *
     * @param reason why it cannot be determined
     */
    record Unknown(Reason reason) implements TicketVerdict {}

    /**
     * The ticket has expired and its minter keeps no state of it. Its call can no longer run, but may have run before
     * the expiry, so the caller must get the answer "unknown".
     */
    record Expired() implements TicketVerdict {}

    /** The minter did not issue this ticket to this customer. The call was not run. */
    record Forged() implements TicketVerdict {}

    /** Reason of an {@link Unknown} verdict. */
    enum Reason {
        /** An earlier incarnation of the minter issued the ticket, and its state is lost. */
        EARLIER_LIFE,
        /** The minter did not answer in time. */
        UNREACHABLE,
        /** This daemon has reached its limit of forwarded calls. Nothing was sent for this call. */
        TOO_MANY_FORWARDED
    }
}
