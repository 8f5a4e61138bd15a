package org.dotterelcourse.coordination.grant;

/** What the embedder of a {@link CellOwner} has to do. */
public sealed interface OwnerEffect {
    /**
     * Send a message; to the owner's own asker as well.
     *
     * @param to the asker's member name
     * @param message the message
     */
    record Send(String to, GrantMessage.ToClient message) implements OwnerEffect {}

    /**
     * A lease ended without a release, for the audit trail and the metrics.
     *
     * @param asker the asker's member name
     * @param grant the grant
     * @param worker the worker's name
     */
    record LeaseExpired(String asker, GrantId grant, String worker) implements OwnerEffect {}

    /**
     * The owner has begun to grant, for the audit trail.
     *
     * @param adopted how many grants of earlier owners were registered
     * @param missing how many expected askers didn't register in time
     */
    record Settled(int adopted, int missing) implements OwnerEffect {}
}
