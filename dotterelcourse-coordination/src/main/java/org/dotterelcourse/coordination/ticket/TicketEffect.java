package org.dotterelcourse.coordination.ticket;

/** An action that the embedder of a {@link TicketCoordinator} must carry out. */
public sealed interface TicketEffect {
    /**
     * Send a message.
     *
     * @param to member name of the receiver
     * @param message the message
     */
    record Send(String to, TicketMessage message) implements TicketEffect {}

    /**
     * Apply the verdict on a call. There is exactly one for each call.
     *
     * @param request number of the call
     * @param verdict the verdict; with {@link TicketVerdict.SpendNow}, {@link TicketCoordinator#recordOutcome} must be
     *     called when the call has ended
     */
    record Verdict(long request, TicketVerdict verdict) implements TicketEffect {}
}
