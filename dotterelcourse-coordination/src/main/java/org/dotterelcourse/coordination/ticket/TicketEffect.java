package org.dotterelcourse.coordination.ticket;

/** What the embedder of a {@link TicketCoordinator} has to do. */
public sealed interface TicketEffect {
    /**
     * Send a message.
     *
     * @param to the receiver's member name
     * @param message the message
     */
    record Send(String to, TicketMessage message) implements TicketEffect {}

    /**
     * The verdict on a call; exactly one for each call.
     *
     * @param request the call's number
     * @param verdict the verdict; with {@link TicketVerdict.SpendNow}, tell the desk what became of the call
     */
    record Verdict(long request, TicketVerdict verdict) implements TicketEffect {}
}
