package org.dotterelcourse.coordination.grant;

import java.util.List;

/** What the embedder of a {@link CellClient} has to do. */
public sealed interface ClientEffect {
    /**
     * The result of {@link CellClient#ask}.
     *
     * @param ask the number by which later effects name the ask, to be noted before the effects are carried out
     * @param effects what to do
     */
    record Asked(long ask, List<ClientEffect> effects) {}

    /**
     * Send a message; to the member's own owner as well.
     *
     * @param to the owner's member name
     * @param message the message
     */
    record Send(String to, GrantMessage.ToOwner message) implements ClientEffect {}

    /**
     * The request has a worker. Call {@link CellClient#tryUse} right before it is sent.
     *
     * @param ask the ask's number
     * @param grant the grant
     * @param worker the worker's name
     */
    record Granted(long ask, GrantId grant, String worker) implements ClientEffect {}

    /**
     * The request was not run, and the ask has ended.
     *
     * @param ask the ask's number
     * @param reason the arbiter's code, or {@link CellClient#CLIENT_FULL}
     * @param retryAfterNanos when it is worth asking again, from now
     */
    record Refused(long ask, String reason, long retryAfterNanos) implements ClientEffect {}

    /**
     * The deadline passed while the request waited: it was not run, and the ask has ended.
     *
     * @param ask the ask's number
     */
    record DeadlinePassed(long ask) implements ClientEffect {}

    /**
     * Stop the running request, {@link CellClient#release} it, and ask again.
     *
     * @param ask the ask's number
     * @param grant the grant that ends
     */
    record Preempted(long ask, GrantId grant) implements ClientEffect {}

    /**
     * Local mode has begun or ended, for the audit trail and the metrics.
     *
     * @param local whether requests are now granted by the local arbiter
     */
    record LocalMode(boolean local) implements ClientEffect {}
}
