package org.dotterelcourse.coordination.grant;

import java.util.List;

/** An action that the embedder of a {@link CellClient} must carry out. */
public sealed interface ClientEffect {
    /**
     * The result of {@link CellClient#ask}.
     *
     * @param ask number that identifies the ask in later effects; the embedder must record it before it carries out the
     *     effects
     * @param effects actions that the embedder must carry out
     */
    record Asked(long ask, List<ClientEffect> effects) {}

    /**
     * Send a message. The receiver may be the owner in the same process.
     *
     * @param to member name of the owner
     * @param message the message
     */
    record Send(String to, GrantMessage.ToOwner message) implements ClientEffect {}

    /**
     * The request was assigned to a worker. {@link CellClient#tryUse} must be called right before it is sent.
     *
     * @param ask number of the ask
     * @param grant the grant
     * @param worker name of the worker
     */
    record Granted(long ask, GrantId grant, String worker) implements ClientEffect {}

    /**
     * The request was rejected without running, and the ask has ended.
     *
     * @param ask number of the ask
     * @param reason code of the arbiter, or {@link CellClient#CLIENT_FULL}
     * @param retryAfterNanos time after which a retry is useful, in nanoseconds from now
     */
    record Refused(long ask, String reason, long retryAfterNanos) implements ClientEffect {}

    /**
     * The deadline passed while the request waited: it was not run, and the ask has ended.
     *
     * @param ask number of the ask
     */
    record DeadlinePassed(long ask) implements ClientEffect {}

    /**
     * Stop the running request, {@linkplain CellClient#release release} it, and ask again.
     *
     * @param ask number of the ask
     * @param grant the revoked grant
     */
    record Preempted(long ask, GrantId grant) implements ClientEffect {}

    /**
     * Local mode has begun or ended. For the audit trail and the metrics.
     *
     * @param local whether the local arbiter now grants the requests
     */
    record LocalMode(boolean local) implements ClientEffect {}
}
