package org.dotterelcourse.gateway.workers;

import org.dotterelcourse.policy.rate.SlotLedger;

/** A slot of a brittle worker that is granted to one request of this process. */
public interface SlotGrant {
    /**
     * Checks the grant. Must be called right before the request is sent.
     *
     * @return false if the grant has expired; the slot is released then
     */
    boolean tryUse();

    /**
     * Releases the slot. Repeated calls have no effect.
     *
     * @param end how the request has ended
     */
    void release(SlotLedger.End end);
}
