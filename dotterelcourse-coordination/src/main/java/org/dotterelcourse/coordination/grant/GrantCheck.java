package org.dotterelcourse.coordination.grant;

import java.util.List;

/** Result of {@link CellClient#tryUse}. Only {@link Usable} allows the request to be sent to the worker. */
public sealed interface GrantCheck {
    /**
     * The request may be sent, once.
     *
     * @param worker name of the worker
     */
    record Usable(String worker) implements GrantCheck {}

    /**
     * The lease may have expired at the owner. The grant is returned unused and the ask has ended; the caller should
     * ask again with the original arrival time.
     *
     * @param effects actions that the embedder must carry out
     */
    record LeaseExpired(List<ClientEffect> effects) implements GrantCheck {}

    /**
     * The request's deadline has passed. The grant is returned unused and the ask has ended.
     *
     * @param effects actions that the embedder must carry out
     */
    record DeadlinePassed(List<ClientEffect> effects) implements GrantCheck {}

    /** The ask has ended, has no grant, or its grant was already used. */
    record NotHeld() implements GrantCheck {}
}
