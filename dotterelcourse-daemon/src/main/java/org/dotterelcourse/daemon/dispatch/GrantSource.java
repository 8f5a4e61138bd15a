package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;
import reactor.core.publisher.Mono;

/** Where the leave to use a worker comes from. */
public interface GrantSource {
    /**
     * Asks for a worker of an upstream. Cancelling withdraws the ask and gives back a grant that comes too late.
     *
     * @param upstream the upstream's name
     * @param ask the request
     * @return one value, when it is decided
     */
    Mono<GrantResult> ask(String upstream, CellRequest ask);

    /**
     * Tells that the answer makes progress.
     *
     * @param grant the grant
     * @param outputTokens tokens that have arrived
     */
    void progress(Grant grant, int outputTokens);

    /**
     * Gives a grant back. Must be called once for each.
     *
     * @param grant the grant
     * @param completion what was seen
     */
    void release(Grant grant, Completion completion);

    /**
     * Whether a grant may be used now, to be asked right before the first byte is written. A grant that may not goes
     * back by itself.
     *
     * @param grant the grant
     * @return false if its lease has run out, as after a pause of the process
     */
    Mono<Boolean> mayUse(Grant grant);
}
