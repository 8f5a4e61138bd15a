package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;
import reactor.core.publisher.Mono;

/** Issues grants, which permit sending a request to a worker. */
public interface GrantSource {
    /**
     * Requests a grant for a worker of an upstream. Cancelling withdraws the request and releases a grant that arrives later.
     *
     * @param upstream the name of the upstream
     * @param request the request to be scheduled
     * @return the result, once the request is granted or refused
     */
    Mono<GrantResult> ask(String upstream, CellRequest request);

    /**
     * Reports the progress of the answer.
     *
     * @param grant the grant
     * @param outputTokens number of tokens received so far
     */
    void progress(Grant grant, int outputTokens);

    /**
     * Releases a grant. Must be called once for each grant.
     *
     * @param grant the grant
     * @param completion how the use ended, with its measurements
     */
    void release(Grant grant, Completion completion);

    /**
     * Returns whether a grant may be used now. Must be checked right before the first byte is written. A grant that may no
     * longer be used is released automatically.
     *
     * @param grant the grant
     * @return false if the lease has expired, for example while the process was paused
     */
    Mono<Boolean> mayUse(Grant grant);
}
