package org.dotterelcourse.coordination.grant;

import java.util.List;

/** Whether a grant may be used now. Only {@link Usable} allows a byte to be sent to the worker. */
public sealed interface GrantCheck {
    /**
     * The request may be sent, this once.
     *
     * @param worker the worker's name
     */
    record Usable(String worker) implements GrantCheck {}

    /**
     * The lease may have ended at the owner. The grant goes back unused and the ask has ended; ask again with the
     * original arrival.
     *
     * @param effects what to do
     */
    record LeaseExpired(List<ClientEffect> effects) implements GrantCheck {}

    /**
     * The request's deadline has passed. The grant goes back unused and the ask has ended.
     *
     * @param effects what to do
     */
    record DeadlinePassed(List<ClientEffect> effects) implements GrantCheck {}

    /** The ask has ended, has no grant, or its grant was used before. */
    record NotHeld() implements GrantCheck {}
}
