package org.dotterelcourse.coordination.grant;

import java.util.List;

/**
 * A message about one cell between a client and the cell's owner. An ask is identified by a number that increases within
 * one incarnation of the client's process.
 *
 * <p>Clocks of daemons are not synchronized. Messages therefore carry ages and durations, and timestamps of the client's
 * own clock that the owner echoes.
 */
public sealed interface GrantMessage {
    /**
     * Name of the cell.
     *
     * @return the name
     */
    String cell();

    /**
     * Message from a client to the owner.
     *
     * @param cell name of the cell
     * @param life incarnation number with which the client's process started; it does not increase when the process
     *     refutes a suspicion, because its grants remain valid then
     * @param stampNanos monotonic time of the client at sending, in nanoseconds; the owner echoes it and never compares
     *     it with another clock
     * @param body the request
     */
    record ToOwner(String cell, long life, long stampNanos, Request body) implements GrantMessage {}

    /**
     * Message from an owner to a client.
     *
     * @param cell name of the cell
     * @param life incarnation number of the client that the message is meant for
     * @param term the owner's term; 0 from a daemon that is not the owner
     * @param stampNanos latest {@link ToOwner#stampNanos} that the owner has received from this client
     * @param sinceStampNanos time between the arrival of that stamp and the sending of this message, in nanoseconds
     * @param body the reply
     */
    record ToClient(String cell, long life, long term, long stampNanos, long sinceStampNanos, Reply body)
            implements GrantMessage {}

    /** Body of a message from a client. */
    sealed interface Request {}

    /** Body of a message from an owner. */
    sealed interface Reply {}

    /**
     * Asks for a worker. Sent again with the same number while it is unanswered.
     *
     * @param ask number of the ask
     * @param ageNanos time since the request arrived at the client, in nanoseconds
     * @param terms opaque payload of the embedder that describes the request to the arbiter
     */
    record Ask(long ask, long ageNanos, byte[] terms) implements Request {}

    /**
     * Cancels a waiting ask.
     *
     * @param ask number of the ask
     */
    record Withdraw(long ask) implements Request {}

    /**
     * A grant that the client holds.
     *
     * @param ask number of the ask
     * @param grant the grant
     * @param units progress of the request so far, for instance output tokens
     */
    record Held(long ask, GrantId grant, int units) {}

    /**
     * Renews the leases of all grants and waiting asks of the client, and serves as its heartbeat.
     *
     * @param held the grants that the client holds
     * @param waiting numbers of the waiting asks
     */
    record Renew(List<Held> held, List<Long> waiting) implements Request {}

    /**
     * Ends a grant.
     *
     * @param ask number of the ask
     * @param grant the grant
     * @param observation opaque payload of the embedder for the arbiter; empty if the grant was never used
     */
    record Release(long ask, GrantId grant, byte[] observation) implements Request {}

    /**
     * Full description of a grant for an owner that may not have it.
     *
     * @param held the grant
     * @param worker name of the worker
     * @param ageNanos time since the request arrived at the client, in nanoseconds
     * @param terms opaque payload of the embedder that describes the request to the arbiter
     */
    record Outstanding(Held held, String worker, long ageNanos, byte[] terms) {}

    /**
     * Registers the client's grants and waiting asks with a new owner, in one or several parts.
     *
     * @param registration number of the registration, increasing
     * @param part index of this part, from 0
     * @param parts number of parts
     * @param grants grants of earlier owners or of local mode
     * @param asks asks that wait
     */
    record Reregister(long registration, int part, int parts, List<Outstanding> grants, List<Ask> asks)
            implements Request {}

    /**
     * Acknowledges an ask that has to wait.
     *
     * @param ask number of the ask
     */
    record Queued(long ask) implements Reply {}

    /**
     * Grants a worker to an ask.
     *
     * @param ask number of the ask
     * @param grant the grant
     * @param worker name of the worker
     * @param leaseNanos duration of the lease in nanoseconds, counted from the sending of this message
     */
    record Granted(long ask, GrantId grant, String worker, long leaseNanos) implements Reply {}

    /**
     * Rejects an ask: this cell will not run the request.
     *
     * @param ask number of the ask
     * @param reason code that the embedder interprets
     * @param retryAfterNanos time after which a retry is useful, in nanoseconds from now
     */
    record Refused(long ask, String reason, long retryAfterNanos) implements Reply {}

    /**
     * Revokes a grant; the client must stop the running request.
     *
     * @param ask number of the ask
     * @param grant the revoked grant
     */
    record Preempted(long ask, GrantId grant) implements Reply {}

    /**
     * Answers {@link Renew}.
     *
     * @param leaseNanos duration of the leases in nanoseconds, counted from the echoed stamp
     * @param unknown ask numbers of the renewed grants and asks that the owner does not have
     */
    record Renewed(long leaseNanos, List<Long> unknown) implements Reply {}

    /**
     * Acknowledges one part of {@link Reregister}.
     *
     * @param registration number of the registration
     * @param part index of the part
     */
    record Registered(long registration, int part) implements Reply {}

    /**
     * Sent by a daemon that does not own the cell.
     *
     * @param owner member name of the owner; empty if the daemon does not know it
     */
    record NotOwner(String owner) implements Reply {}
}
