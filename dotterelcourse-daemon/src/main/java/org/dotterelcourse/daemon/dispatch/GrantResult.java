package org.dotterelcourse.daemon.dispatch;

import org.dotterelcourse.policy.cell.RefusalReason;

/** Result of requesting a grant. */
public sealed interface GrantResult {
    /**
     * The request may be sent.
     *
     * @param grant the grant, which must be released
     */
    record Granted(Grant grant) implements GrantResult {}

    /**
     * The request was refused and will not run.
     *
     * @param reason why the request was refused
     * @param retryAfterNanos time until a retry may succeed, in nanoseconds; 0 if unknown
     */
    record Refused(RefusalReason reason, long retryAfterNanos) implements GrantResult {}
}
