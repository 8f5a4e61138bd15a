package org.dotterelcourse.coordination.grant;

import java.util.List;

/**
 * A message about one cell between an asker and its owner. An ask is named by a number that rises within the life of
 * the asker's process.
 */
public sealed interface GrantMessage {
    /**
     * The cell's name.
     *
     * @return the name
     */
    String cell();

    /**
     * From an asker to the owner.
     *
     * @param cell the cell's name
     * @param life the incarnation with which the asker's process started; it doesn't rise when the process refutes a
     *     suspicion, because its grants go on then
     * @param stampNanos the asker's clock at sending, echoed by the owner and never compared with another clock
     * @param body what is said
     */
    record ToOwner(String cell, long life, long stampNanos, Request body) implements GrantMessage {}

    /**
     * From an owner to an asker.
     *
     * @param cell the cell's name
     * @param life the life of the asker that is meant
     * @param term the owner's term; 0 from a daemon that isn't the owner
     * @param stampNanos the newest stamp that the owner has seen of this asker
     * @param sinceStampNanos how long before sending that stamp arrived, in nanoseconds
     * @param body what is said
     */
    record ToClient(String cell, long life, long term, long stampNanos, long sinceStampNanos, Reply body)
            implements GrantMessage {}

    /** What an asker says. */
    sealed interface Request {}

    /** What an owner says. */
    sealed interface Reply {}

    /**
     * Asks for a worker; also sent again for the same ask while it is unanswered.
     *
     * @param ask the ask's number
     * @param ageNanos how long ago the request arrived
     * @param terms the embedder's payload
     */
    record Ask(long ask, long ageNanos, byte[] terms) implements Request {}

    /**
     * A waiting ask is no longer wanted.
     *
     * @param ask the ask's number
     */
    record Withdraw(long ask) implements Request {}

    /**
     * A grant that the asker holds.
     *
     * @param ask the ask's number
     * @param grant the grant
     * @param units how much has been done so far
     */
    record Held(long ask, GrantId grant, int units) {}

    /**
     * Renews everything that the asker holds or waits for, and serves as its heartbeat.
     *
     * @param held the grants
     * @param waiting the numbers of the asks that wait
     */
    record Renew(List<Held> held, List<Long> waiting) implements Request {}

    /**
     * Ends a grant.
     *
     * @param ask the ask's number
     * @param grant the grant
     * @param observation the embedder's payload; empty if the grant was never used
     */
    record Release(long ask, GrantId grant, byte[] observation) implements Request {}

    /**
     * A grant in full, for an owner that may not know it.
     *
     * @param held the grant
     * @param worker the worker's name
     * @param ageNanos how long ago the request arrived
     * @param terms the embedder's payload
     */
    record Outstanding(Held held, String worker, long ageNanos, byte[] terms) {}

    /**
     * Tells a new owner what the asker holds and waits for, in one or several parts.
     *
     * @param registration the registration's number, rising
     * @param part which part, from 0
     * @param parts how many there are
     * @param grants grants of earlier owners, or of local mode
     * @param asks asks that wait
     */
    record Reregister(long registration, int part, int parts, List<Outstanding> grants, List<Ask> asks)
            implements Request {}

    /**
     * The ask has arrived and waits.
     *
     * @param ask the ask's number
     */
    record Queued(long ask) implements Reply {}

    /**
     * The request may be sent to a worker.
     *
     * @param ask the ask's number
     * @param grant the grant
     * @param worker the worker's name
     * @param leaseNanos the lease's length, counted from sending
     */
    record Granted(long ask, GrantId grant, String worker, long leaseNanos) implements Reply {}

    /**
     * The request won't be run by this cell.
     *
     * @param ask the ask's number
     * @param reason a code that the embedder understands
     * @param retryAfterNanos when it is worth asking again, from now
     */
    record Refused(long ask, String reason, long retryAfterNanos) implements Reply {}

    /**
     * The running request is to be stopped.
     *
     * @param ask the ask's number
     * @param grant the grant that ends
     */
    record Preempted(long ask, GrantId grant) implements Reply {}

    /**
     * Answers {@link Renew}.
     *
     * @param leaseNanos the lease's length, counted from the echoed stamp
     * @param unknown numbers of renewed asks and grants that the owner doesn't know
     */
    record Renewed(long leaseNanos, List<Long> unknown) implements Reply {}

    /**
     * Answers one part of {@link Reregister}.
     *
     * @param registration the registration's number
     * @param part which part
     */
    record Registered(long registration, int part) implements Reply {}

    /**
     * The daemon that was addressed doesn't own the cell.
     *
     * @param owner who does, as far as it knows; else empty
     */
    record NotOwner(String owner) implements Reply {}
}
