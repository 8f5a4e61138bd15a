package org.dotterelcourse.coordination.grant;

/** An action that the embedder of a {@link CellOwner} must carry out. */
public sealed interface OwnerEffect {
    /**
     * Send a message. The receiver may be the client in the same process.
     *
     * @param to member name of the client
     * @param message the message
     */
    record Send(String to, GrantMessage.ToClient message) implements OwnerEffect {}

    /**
     * A lease expired without a release. For the audit trail and the metrics.
     *
     * @param client member name of the client
     * @param grant the grant
     * @param worker name of the worker
     */
    record LeaseExpired(String client, GrantId grant, String worker) implements OwnerEffect {}

    /**
     * The owner has settled and begins to grant. For the audit trail.
     *
     * @param adopted number of grants of earlier owners that clients registered
     * @param missing number of expected clients that did not register in time
     */
    record Settled(int adopted, int missing) implements OwnerEffect {}
}
